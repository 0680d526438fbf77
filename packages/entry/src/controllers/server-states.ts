import { z } from 'zod';
import { parseValue } from '@hemlocksill/store/parse-value.js';
import type { StoreKeys } from '@hemlocksill/revisions/store-keys.js';
import type { ControlWatch } from './control-watch.js';

const statesSchema = z.record(
  z.string(),
  z.object({ state: z.literal('leaving'), since: z.number(), version: z.string() }),
);

/** Backend servers that are leaving, by name, with the wall-clock time when that began. */
export type ServerStates = z.output<typeof statesSchema>;

/** Parses the record of leaving backend servers; empty if it is missing or invalid. */
export const parseServerStates = (text: string | undefined): ServerStates => {
  if (text === undefined) return {};
  return parseValue(statesSchema, text).unwrapOr({});
};

/** Tracks the record of leaving backend servers; returns a function that reads it. */
export const trackServerStates = (
  watch: ControlWatch,
  keys: StoreKeys,
  onChange: () => void,
): (() => ServerStates) => {
  let states: ServerStates = {};
  watch.subscribe(keys.serverStates, (_key, entry) => {
    states = parseServerStates(entry?.value);
    onChange();
  });
  return () => states;
};
