import type { BackendServer } from '@hemlocksill/types/routing.js';
import { chooseHolders } from '@hemlocksill/routing/choose-holders.js';
import { makeStreamOrigins, type StreamOrigin } from '@hemlocksill/routing/stream-origins.js';
import {
  makeVersionHistory,
  maxStreamLifeMs,
  type VersionState,
} from '@hemlocksill/routing/version-history.js';
import type { LogRouterEvent } from './events.js';
import { encodeOriginMessage, type OriginAnswer, type OriginMessage } from './origin-message.js';

/** Other VMs that are told of a stream; it may be taken up after its VM and two of them are gone. */
const holderCount = 3;

/** VMs that are asked: the holders, also if VMs have come and gone since the stream began. */
const askedCount = 6;

/** Time after which a question is sent again, since messages may be lost, and when it is given up. */
const repeatMs = 60;
const answerTimeoutMs = 200;

/** Interval between two removals of streams that can't be taken up any more. */
const prunePeriodMs = 5_000;

/** Another VM of the fleet. */
export interface PeerAddress {
  readonly vm: string;
  readonly address: string;
}

/** Dependencies of the controller. */
export interface OriginControllerDeps {
  /** All other VMs, unresponsive ones included. */
  readonly listPeers: () => readonly PeerAddress[];
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  /** Whether this VM follows the list of backend servers. */
  readonly isViewCurrent: () => boolean;
  /** Whether no stream can have begun before the start of this VM. */
  readonly isFirstStart: boolean;
  readonly log: LogRouterEvent;
  readonly now: () => number;
}

/** A question that other VMs have not all answered. */
interface Question {
  readonly answers: Map<string, OriginAnswer>;
  readonly asked: ReadonlySet<string>;
  readonly finish: () => void;
}

/** Knows at which version streams began, also those of other VMs. */
export interface OriginController {
  /** Remembers a stream whose first event is about to be sent, here and at other VMs. */
  readonly recordBegin: (request: string, origin: StreamOrigin, expiresAt: number) => void;
  /**
   * Finds the origin of a stream that a caller takes up; undefined if nobody knows it.
   *
   * @param request - id of the request that brought its first event, if the caller names it
   */
  readonly find: (
    request: string | undefined,
    service: string,
    onDone: (origin: StreamOrigin | undefined) => void,
  ) => void;
  /** Whether all servers of a service have had one version for longer than a stream lives. */
  readonly hasOnlyVersion: (service: string) => boolean;
  readonly updateServers: (servers: readonly BackendServer[]) => void;
  readonly onMessage: (message: OriginMessage, sender: string) => void;
  readonly tick: (now: number) => void;
}

/** Combines what several VMs know; undefined if it is not enough or they disagree. */
const combineAnswers = (
  answers: readonly OriginAnswer[],
  service: string,
): StreamOrigin | undefined => {
  const begun = answers.find((answer) => answer.kind === 'begun');
  if (begun) return begun;
  const only = answers.find((answer) => answer.kind === 'only');
  const isContradicted = answers.some(
    (answer) =>
      answer.kind === 'several' ||
      (answer.kind === 'only' && answer.softwareVersion !== only?.softwareVersion),
  );
  return only && !isContradicted ? { service, softwareVersion: only.softwareVersion } : undefined;
};

/**
 * Makes the controller of a VM.
 *
 * A stream may be taken up at any VM, mostly because the one that began it is gone. So a few VMs, chosen
 * by the id of the request, are told of each stream before its first event leaves, and asked when it is
 * taken up. While a service has one version for longer than a stream lives, nobody is asked.
 *
 * @example
 * const origins = makeOriginController(deps);
 * origins.find('r1', 'llm', (origin) => {});
 */
export const makeOriginController = (deps: OriginControllerDeps): OriginController => {
  const { log, now } = deps;
  const origins = makeStreamOrigins();
  const history = makeVersionHistory(deps.isFirstStart ? Number.NEGATIVE_INFINITY : now());
  const questions = new Map<number, Question>();
  let lastQuestion = 0;
  let nextPruneAt = 0;

  const choosePeers = (request: string, count: number): PeerAddress[] => {
    const peers = new Map(deps.listPeers().map((peer) => [peer.vm, peer]));
    return chooseHolders(request, [...peers.keys()], count).flatMap((vm) => peers.get(vm) ?? []);
  };

  const getState = (service: string): VersionState => history.getState(service, now());

  const getLocalAnswer = (request: string, service: string): OriginAnswer => {
    const origin = origins.find(request, now());
    if (origin) return { kind: 'begun', ...origin };
    const state = getState(service);
    return state.kind === 'only' ? { ...state, service } : state;
  };

  const ask = (
    request: string,
    service: string,
    onDone: (origin: StreamOrigin | undefined) => void,
  ): void => {
    lastQuestion += 1;
    const question = lastQuestion;
    const peers = choosePeers(request, askedCount);
    const answers = new Map<string, OriginAnswer>();
    const bytes = encodeOriginMessage({ kind: 'asked', question, request, service });
    const send = (): void =>
      peers.forEach(({ address }) => {
        if (!answers.has(address)) deps.sendDatagram(bytes, address);
      });
    const finish = (): void => {
      if (!questions.delete(question)) return;
      clearInterval(repeatTimer);
      clearTimeout(timeoutTimer);
      // Without any answer this VM may be cut off, and what it knows may be old.
      const isCurrent = deps.isViewCurrent() || answers.size > 0;
      const local = getLocalAnswer(request, service);
      const known = [...answers.values(), ...(isCurrent ? [local] : [])];
      onDone(combineAnswers(known, service));
    };
    const repeatTimer = setInterval(send, repeatMs);
    const timeoutTimer = setTimeout(finish, answerTimeoutMs);
    questions.set(question, {
      answers,
      asked: new Set(peers.map(({ address }) => address)),
      finish,
    });
    send();
    if (peers.length === 0) finish();
  };

  const recordAnswer = (question: number, answer: OriginAnswer, sender: string): void => {
    const pending = questions.get(question);
    if (!pending?.asked.has(sender)) return;
    pending.answers.set(sender, answer);
    if (answer.kind === 'begun' || pending.answers.size === pending.asked.size) pending.finish();
  };

  return {
    recordBegin: (request, origin, expiresAt) => {
      origins.record(request, origin, expiresAt);
      const lifeMs = Math.max(0, Math.round(expiresAt - now()));
      const bytes = encodeOriginMessage({ kind: 'told', request, origin, lifeMs });
      choosePeers(request, holderCount).forEach(({ address }) => deps.sendDatagram(bytes, address));
    },
    find: (request, service, onDone) => {
      const known = request === undefined ? undefined : origins.find(request, now());
      const state = getState(service);
      const finish = (origin: StreamOrigin | undefined, source: string): void => {
        log(2314, { resumed: request, source, softwareVersion: origin?.softwareVersion });
        onDone(origin);
      };
      if (known) finish(known, 'here');
      else if (state.kind === 'only' && deps.isViewCurrent())
        finish({ service, softwareVersion: state.softwareVersion }, 'only-version');
      else ask(request ?? '', service, (origin) => finish(origin, 'peers'));
    },
    hasOnlyVersion: (service) => getState(service).kind === 'only',
    updateServers: (servers) => history.update(servers, now()),
    onMessage: (message, sender) => {
      if (message.kind === 'told') {
        const lifeMs = Math.min(message.lifeMs, maxStreamLifeMs);
        origins.record(message.request, message.origin, now() + lifeMs);
      } else if (message.kind === 'answered')
        recordAnswer(message.question, message.answer, sender);
      else {
        const answer = getLocalAnswer(message.request, message.service);
        const { question } = message;
        deps.sendDatagram(encodeOriginMessage({ kind: 'answered', question, answer }), sender);
      }
    },
    tick: (nowMs) => {
      if (nowMs < nextPruneAt) return;
      nextPruneAt = nowMs + prunePeriodMs;
      origins.prune(nowMs);
    },
  };
};
