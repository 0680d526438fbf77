import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type { PublishFault } from '@hemlocksill/errors/publish-errors.js';
import { writeAndSettle } from '@hemlocksill/store/settle-write.js';
import type { Store, StoreFault } from '@hemlocksill/types/ports.js';
import {
  assembleHead,
  findWriteRevision,
  parseHead,
  type ChangeAuthor,
  type Head,
} from './head.js';
import { computeDigest } from './parts.js';
import type { StoreKeys } from './store-keys.js';

/** Number of lost races with other changes after which publishing is given up. */
const maxRebases = 8;
const maxSettleAttempts = 5;
const settleRetryDelayMs = 300;

/** Content of the store at the time of reading. */
export interface PublishedState {
  /** Store revision of the head key; 0 when the key does not exist. */
  readonly storeRevision: number;
  readonly head: Head | undefined;
  readonly parts: ReadonlyMap<string, string>;
}

/** New texts of the changed parts, by name; undefined removes a part. */
export interface Change {
  readonly parts: ReadonlyMap<string, string | undefined>;
  readonly changesDocument: boolean;
}

/** Computes a change from the current content; called again after each lost race. */
export type AssembleChange = (current: PublishedState) => Result<Change, PublishFault>;

const toPublishFault = (fault: StoreFault): PublishFault => ({ kind: 'store', fault });

/** Reads the head and all parts that it refers to. */
export const readPublished = async (
  store: Store,
  keys: StoreKeys,
): Promise<Result<PublishedState, PublishFault>> => {
  const entry = await store.get(keys.head);
  if (entry.isErr()) return err(toPublishFault(entry.error));
  if (!entry.value) return ok({ storeRevision: 0, head: undefined, parts: new Map() });
  const head = parseHead(entry.value.value);
  if (head.isErr()) return err({ kind: 'rejected', reason: `head in store: ${head.error}` });
  const parts = new Map<string, string>();
  for (const [name, ref] of Object.entries(head.value.parts)) {
    const part = await store.get(ref.key);
    if (part.isErr()) return err(toPublishFault(part.error));
    // A change that was published after the head was read has deleted the part.
    if (!part.value) return readPublished(store, keys);
    parts.set(name, part.value.value);
  }
  return ok({ storeRevision: entry.value.revision, head: head.value, parts });
};

const selectChangedParts = (
  current: PublishedState,
  change: Change,
): Map<string, string | undefined> =>
  new Map(
    [...change.parts].filter(([name, text]) => {
      const ref = current.head?.parts[name];
      return text === undefined ? ref !== undefined : ref?.digest !== computeDigest(text);
    }),
  );

/**
 * Looks up whether a write whose response was lost took effect.
 *
 * @returns the revision that the write created, or undefined when the head does not list it
 */
export const settlePublish = async (
  store: Store,
  keys: StoreKeys,
  writeId: string,
): Promise<Result<number | undefined, PublishFault>> => {
  for (let i = 0; i < maxSettleAttempts; i += 1) {
    const entry = await store.get(keys.head);
    if (entry.isOk()) {
      const head = entry.value && parseHead(entry.value.value);
      return ok(head?.isOk() ? findWriteRevision(head.value, writeId) : undefined);
    }
    await sleep(settleRetryDelayMs);
  }
  return err({ kind: 'unknown', writeId });
};

type AttemptResult = { kind: 'accepted'; revision: number } | { kind: 'raced' };

const writeParts = async (
  store: Store,
  keys: StoreKeys,
  texts: ReadonlyMap<string, string | undefined>,
  writeId: string,
): Promise<Result<Map<string, { key: string; digest: string } | undefined>, PublishFault>> => {
  const refs = new Map<string, { key: string; digest: string } | undefined>();
  for (const [name, text] of texts) {
    if (text === undefined) {
      refs.set(name, undefined);
      continue;
    }
    const key = `${keys.parts}${writeId}/${name}`;
    const written = await writeAndSettle(store, { key, expected: 0, value: text });
    if (written.isErr()) return err(toPublishFault(written.error));
    refs.set(name, { key, digest: computeDigest(text) });
  }
  return ok(refs);
};

const deleteParts = async (store: Store, partKeys: readonly string[]): Promise<void> => {
  for (const key of partKeys) {
    const entry = await store.get(key);
    if (entry.isOk() && entry.value)
      await store.cas({ key, expected: entry.value.revision, value: undefined });
  }
};

const attemptPublish = async (
  store: Store,
  keys: StoreKeys,
  author: ChangeAuthor,
  assemble: AssembleChange,
  attempt: number,
): Promise<Result<AttemptResult, PublishFault>> => {
  const current = await readPublished(store, keys);
  if (current.isErr()) return err(current.error);
  const change = assemble(current.value);
  if (change.isErr()) return err(change.error);
  const texts = selectChangedParts(current.value, change.value);
  const refs = await writeParts(store, keys, texts, `${author.writeId}-${attempt}`);
  if (refs.isErr()) return err(refs.error);
  const head = assembleHead(current.value.head, refs.value, author, change.value.changesDocument);
  const written = await writeAndSettle(store, {
    key: keys.head,
    expected: current.value.storeRevision,
    value: JSON.stringify(head),
  });
  if (written.isErr()) {
    const settled = await settlePublish(store, keys, author.writeId);
    if (settled.isErr()) return err(settled.error);
    if (settled.value !== undefined) return ok({ kind: 'accepted', revision: settled.value });
    return err({ kind: 'unknown', writeId: author.writeId });
  }
  if (written.value.kind === 'conflict') {
    const latest = parseHead(written.value.value ?? '');
    const writtenRevision = latest.isOk()
      ? findWriteRevision(latest.value, author.writeId)
      : undefined;
    if (writtenRevision !== undefined) return ok({ kind: 'accepted', revision: writtenRevision });
    await deleteParts(
      store,
      [...refs.value.values()].flatMap((ref) => ref?.key ?? []),
    );
    return ok({ kind: 'raced' });
  }
  const replacedKeys = [...refs.value.keys()].flatMap(
    (n) => current.value.head?.parts[n]?.key ?? [],
  );
  await deleteParts(store, replacedKeys);
  return ok({ kind: 'accepted', revision: head.revision });
};

/**
 * Publishes a change by one compare-and-swap of the head.
 *
 * `assemble` is called again when another change wins the race for the head. It returns a
 * `superseded` fault if its change is not valid on top of the other one.
 *
 * @returns the revision that the change created
 *
 * @example
 * const revision = await publishChange(store, getStoreKeys('trial'), author, () =>
 *   ok({ parts: splitDocument(text), changesDocument: true }),
 * );
 */
export const publishChange = async (
  store: Store,
  keys: StoreKeys,
  author: ChangeAuthor,
  assemble: AssembleChange,
): Promise<Result<number, PublishFault>> => {
  for (let attempt = 0; attempt < maxRebases; attempt += 1) {
    const result = await attemptPublish(store, keys, author, assemble, attempt);
    if (result.isErr()) return err(result.error);
    if (result.value.kind === 'accepted') return ok(result.value.revision);
  }
  return err({ kind: 'superseded', revision: 0 });
};
