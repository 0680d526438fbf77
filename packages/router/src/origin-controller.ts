import type { BackendServer } from '@hemlocksill/types/routing.js';
import { chooseHolders } from '@hemlocksill/routing/choose-holders.js';
import { makeStreamOrigins, type StreamOrigin } from '@hemlocksill/routing/stream-origins.js';
import {
  makeVersionHistory,
  maxStreamLifeMs,
  type VersionState,
} from '@hemlocksill/routing/version-history.js';
import { chooseRecorder } from '@hemlocksill/routing/stream-rows.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { startReadTimeout } from '@hemlocksill/timers/read-timeout.js';
import type { LogRouterEvent } from './events.js';
import { encodeOriginMessage, type OriginAnswer, type OriginMessage } from './origin-message.js';
import { makeOriginReader } from './origin-reader.js';
import { makeOriginRecorder } from './origin-recorder.js';
import { makeFreshReads } from './fresh-reads.js';
import type { RouterMetrics } from './router-metrics.js';
import { makeVersionKeeper } from './version-keeper.js';

/** Other VMs that are told of a stream; it may be taken up after its VM and two of them are gone. */
const holderCount = 3;

/** VMs that are asked: the holders, also if VMs have come and gone since the stream began. */
const askedCount = 6;

/** Time after which a question is sent again, since messages may be lost, and when it is given up. */
const repeatMs = 60;
const answerTimeoutMs = 200;

/** Part of the time left of a caller for which its request waits for the store. */
const storeWaitShare = 1 / 3;

/**
 * Time for which a VM that was told of a stream remembers it at most. Callers may wait for longer than versions that
 * are gone count.
 */
const maxToldLifeMs = 600_000;

/** Interval between two streams of the same unlisted version of which all VMs are told. */
const unlistedPeriodMs = 10_000;

/** Interval between two removals of streams that can't be taken up any more. */
const prunePeriodMs = 5_000;

/** Another VM of the fleet. */
export interface PeerAddress {
  readonly vm: string;
  readonly address: string;
  /** Whether it has not been heard for some time. */
  readonly isUnresponsive?: boolean;
}

/** What a VM needs to keep versions and origins in the store. */
export interface OriginRecordsDeps {
  readonly vm: string;
  readonly store: Store;
  readonly versionKey: string;
  readonly originPrefix: string;
  /** Whether this VM comes first among those that reach the store. */
  readonly isFirst: () => boolean;
  readonly isListComplete: () => boolean;
  /** Newest revision of the store that this VM has seen. */
  readonly getSeenRevision: () => number;
  /** Unix time in milliseconds. */
  readonly unixNow: () => number;
}

/** Dependencies of the controller. */
export interface OriginControllerDeps {
  /** All other VMs, unresponsive ones included. */
  readonly listPeers: () => readonly PeerAddress[];
  readonly sendDatagram: (bytes: Buffer, address: string) => void;
  /** Whether this VM follows the list of backend servers. */
  readonly isViewCurrent: () => boolean;
  /** Reads the list of backend servers from the store now; false if that failed. */
  readonly readServers: () => Promise<boolean>;
  /** Whether no stream can have begun before the start of this VM. */
  readonly isFirstStart: boolean;
  /** Undefined if versions and origins are kept only in the memory of the VMs. */
  readonly records: OriginRecordsDeps | undefined;
  readonly log: LogRouterEvent;
  readonly metrics: Pick<RouterMetrics, 'originStoreCalls' | 'resumedStreams'>;
  readonly now: () => number;
}

/** A question that other VMs have not all answered. */
interface Question {
  readonly answers: Map<string, OriginAnswer>;
  /** The holders first. */
  readonly asked: readonly PeerAddress[];
  /** Whether the answers so far, if no other one came, tell the origin. */
  readonly hasOrigin: () => boolean;
  readonly finish: () => void;
}

/**
 * Whether the VMs that were told of a stream have answered, or all that may answer. They are the first ones of the
 * asked, without the VM that began it; so of one more than their number, one may be silent, since it is mostly that VM.
 * A VM that has just started, and doesn't know how many versions there were, may have forgotten the stream.
 */
const haveHoldersAnswered = ({ answers, asked }: Question): boolean =>
  asked
    .slice(0, holderCount + 1)
    .filter(({ address }) => (answers.get(address)?.kind ?? 'unknown') !== 'unknown').length >=
    holderCount ||
  asked.every(({ address, isUnresponsive }) => isUnresponsive || answers.has(address));

/** Knows at which version streams began, also those of other VMs. */
export interface OriginController {
  /** Remembers a stream whose first event is about to be sent, here and at other VMs. */
  readonly recordBegin: (request: string, origin: StreamOrigin, expiresAt: number) => void;
  /**
   * Finds the origin of a stream that a caller takes up; undefined if nobody knows it.
   *
   * @param request - id of the request that brought its first event, if the caller names it
   * @param timeoutAt - time until which the caller waits for its response
   */
  readonly find: (
    request: string | undefined,
    service: string,
    timeoutAt: number,
    onDone: (origin: StreamOrigin | undefined) => void,
  ) => void;
  /** Whether all servers of a service have had one version for longer than a stream lives. */
  readonly hasOnlyVersion: (service: string) => boolean;
  /** Whether a version of a service would be known after a loss of all VMs; true if nothing is recorded. */
  readonly isRecorded: (server: Pick<BackendServer, 'service' | 'softwareVersion'>) => boolean;
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
 * taken up, also while this VM knows of one version only: it may not have heard of another one yet. If they
 * don't remember it and the service has had one version for longer than a stream lives, that one began it. What
 * outlives a loss of all VMs is in the store, and read only if no VM knows.
 *
 * @example
 * const origins = makeOriginController(deps);
 * origins.find('r1', 'llm', now() + 5_000, (origin) => {});
 */
export const makeOriginController = (deps: OriginControllerDeps): OriginController => {
  const { log, now, records } = deps;
  const origins = makeStreamOrigins();
  const ownSince = deps.isFirstStart ? Number.NEGATIVE_INFINITY : now();
  const history = makeVersionHistory(ownSince);
  const questions = new Map<number, Question>();
  const freshReads = makeFreshReads({ read: deps.readServers, now });
  let lastQuestion = 0;
  let nextPruneAt = 0;
  let servers: readonly BackendServer[] = [];
  /** Times at which all VMs were told of streams of versions that are not listed, by service and version. */
  const toldUnlistedAt = new Map<string, number>();

  /** Whether a service has servers in the list, but none of the version. */
  const isUnlisted = ({ service, softwareVersion }: StreamOrigin): boolean => {
    const listed = servers.filter((server) => server.service === service);
    return (
      listed.length > 0 && listed.every((server) => server.softwareVersion !== softwareVersion)
    );
  };

  /**
   * Remembers the version of a stream that is not listed, which counts as one that has just gone: the entry of its
   * instance still shows the one before, so that the listed versions are not all.
   */
  const recordVersion = ({ service, softwareVersion }: StreamOrigin): void => {
    if (!isUnlisted({ service, softwareVersion })) return;
    history.adopt([{ service, softwareVersion, goneAt: now() }], Number.POSITIVE_INFINITY);
  };

  /** Whether all VMs are to be told of a stream, since they know nothing of its version. */
  const tryTellAll = (origin: StreamOrigin): boolean => {
    if (!isUnlisted(origin)) return false;
    const key = `${origin.service} ${origin.softwareVersion}`;
    if (now() - (toldUnlistedAt.get(key) ?? Number.NEGATIVE_INFINITY) < unlistedPeriodMs)
      return false;
    toldUnlistedAt.set(key, now());
    return true;
  };

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

  /** Combines what other VMs answered with what this one knows. */
  const combineWithLocal = (
    answers: readonly OriginAnswer[],
    request: string,
    service: string,
    isFresh: boolean,
  ): StreamOrigin | undefined => {
    // Without any answer this VM may be cut off, and what it knows may be old.
    const isCurrent =
      isFresh ||
      answers.length > 0 ||
      (deps.isViewCurrent() && deps.listPeers().every(({ isUnresponsive }) => isUnresponsive));
    const local = isCurrent ? [getLocalAnswer(request, service)] : [];
    return combineAnswers([...answers, ...local], service);
  };

  const ask = (
    request: string,
    service: string,
    onDone: (origin: StreamOrigin | undefined, answers: readonly OriginAnswer[]) => void,
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
      cancelTimeout();
      const received = [...answers.values()];
      onDone(combineWithLocal(received, request, service, false), received);
    };
    const hasOrigin = (): boolean =>
      combineWithLocal([...answers.values()], request, service, false) !== undefined;
    const repeatTimer = setInterval(send, repeatMs);
    const cancelTimeout = startReadTimeout(finish, answerTimeoutMs);
    questions.set(question, { answers, asked: peers, hasOrigin, finish });
    send();
    if (peers.length === 0) finish();
  };

  const recordAnswer = (question: number, answer: OriginAnswer, sender: string): void => {
    const pending = questions.get(question);
    if (!pending?.asked.some(({ address }) => address === sender)) return;
    pending.answers.set(sender, answer);
    const isAnswered = pending.answers.size === pending.asked.length;
    const isDecided = haveHoldersAnswered(pending) && pending.hasOrigin();
    if (answer.kind === 'begun' || isAnswered || isDecided) pending.finish();
  };

  const stored = records && {
    recorder: makeOriginRecorder({ ...deps, ...records, prefix: records.originPrefix }),
    reader: makeOriginReader({ ...deps, ...records, prefix: records.originPrefix }),
    keeper: makeVersionKeeper({
      ...deps,
      ...records,
      key: records.versionKey,
      history,
      onAdopted: () => history.update(servers, now()),
      broadcast: (revision, value) => {
        const bytes = encodeOriginMessage({ kind: 'versions', revision, value });
        deps.listPeers().forEach(({ address }) => deps.sendDatagram(bytes, address));
      },
    }),
  };

  /** Has the origin of a stream written to the store, by one VM of a few. */
  const recordInStore = (request: string, origin: StreamOrigin, expiresAt: number): void => {
    if (!records || !stored || getState(origin.service).kind === 'only') return;
    const responsive = deps.listPeers().filter(({ isUnresponsive }) => !isUnresponsive);
    const recorder = chooseRecorder(request, [records.vm, ...responsive.map(({ vm }) => vm)]);
    if (recorder === records.vm) {
      stored.recorder.add(request, origin, expiresAt);
      return;
    }
    const lifeMs = Math.max(0, Math.round(expiresAt - now()));
    const bytes = encodeOriginMessage({ kind: 'record', request, origin, lifeMs });
    responsive
      .filter(({ vm }) => vm === recorder)
      .forEach(({ address }) => deps.sendDatagram(bytes, address));
  };

  /** Source of the knowledge that a service has one version. */
  const getOnlySource = (): string =>
    now() - ownSince >= maxStreamLifeMs ? 'only-version' : 'store';

  /** Finds a stream that no VM knows; `isFresh` says that the list of servers was read since. */
  const findInStore = (
    request: string | undefined,
    service: string,
    until: number,
    answers: readonly OriginAnswer[],
    isFresh: boolean,
    onDone: (origin: StreamOrigin | undefined, source: string) => void,
  ): void => {
    if (!stored) {
      onDone(undefined, 'peers');
      return;
    }
    stored.keeper.awaitRead(until, () => {
      const known = combineWithLocal(answers, request ?? '', service, isFresh);
      if (known) onDone(known, 'store');
      else if (request === undefined) onDone(undefined, 'store');
      else
        stored.reader.find(request, until, (row) => {
          if (row) origins.record(request, row.origin, now() + row.lifeMs);
          onDone(row?.origin, 'record');
        });
    });
  };

  /** Finds a stream about which no VM has answered: all may be gone, or this one is cut off from them. */
  const findAlone = (
    request: string | undefined,
    service: string,
    until: number,
    onDone: (origin: StreamOrigin | undefined, source: string) => void,
  ): void =>
    freshReads.await(until, (isFresh) => {
      const known = combineWithLocal([], request ?? '', service, isFresh);
      if (known) onDone(known, 'store');
      else findInStore(request, service, until, [], isFresh, onDone);
    });

  return {
    recordBegin: (request, origin, expiresAt) => {
      recordVersion(origin);
      recordInStore(request, origin, expiresAt);
      origins.record(request, origin, expiresAt);
      const lifeMs = Math.max(0, Math.round(expiresAt - now()));
      const bytes = encodeOriginMessage({ kind: 'told', request, origin, lifeMs });
      const told = tryTellAll(origin) ? deps.listPeers() : choosePeers(request, holderCount);
      told.forEach(({ address }) => deps.sendDatagram(bytes, address));
    },
    find: (request, service, timeoutAt, onDone) => {
      const known = request === undefined ? undefined : origins.find(request, now());
      const finish = (origin: StreamOrigin | undefined, source: string): void => {
        deps.metrics.resumedStreams.inc({ source: origin ? source : 'unknown' });
        log(2314, { resumed: request, source, softwareVersion: origin?.softwareVersion });
        onDone(origin);
      };
      if (known) finish(known, 'here');
      else
        ask(request ?? '', service, (origin, answers) => {
          const isBegun = answers.some(({ kind }) => kind === 'begun');
          const isOnly = !isBegun && getState(service).kind === 'only';
          const until = now() + Math.max(0, timeoutAt - now()) * storeWaitShare;
          if (origin) finish(origin, isOnly ? getOnlySource() : 'peers');
          else if (answers.length === 0) findAlone(request, service, until, finish);
          else findInStore(request, service, until, answers, false, finish);
        });
    },
    hasOnlyVersion: (service) => getState(service).kind === 'only',
    isRecorded: ({ service, softwareVersion }) =>
      stored?.keeper.isRecorded(service, softwareVersion) ?? true,
    updateServers: (listed) => {
      servers = listed;
      history.update(servers, now());
      stored?.keeper.tick();
    },
    onMessage: (message, sender) => {
      if (message.kind === 'told') {
        const lifeMs = Math.min(message.lifeMs, maxToldLifeMs);
        recordVersion(message.origin);
        origins.record(message.request, message.origin, now() + lifeMs);
      } else if (message.kind === 'record') {
        const lifeMs = Math.min(message.lifeMs, maxStreamLifeMs);
        stored?.recorder.add(message.request, message.origin, now() + lifeMs);
      } else if (message.kind === 'versions')
        stored?.keeper.onPeerRecord(message.revision, message.value);
      else if (message.kind === 'answered') recordAnswer(message.question, message.answer, sender);
      else {
        const answer = getLocalAnswer(message.request, message.service);
        const { question } = message;
        deps.sendDatagram(encodeOriginMessage({ kind: 'answered', question, answer }), sender);
      }
    },
    tick: (nowMs) => {
      stored?.keeper.tick();
      if (nowMs < nextPruneAt) return;
      nextPruneAt = nowMs + prunePeriodMs;
      origins.prune(nowMs);
      toldUnlistedAt.forEach((at, key) => {
        if (nowMs - at >= unlistedPeriodMs) toldUnlistedAt.delete(key);
      });
    },
  };
};
