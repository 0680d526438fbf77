import type { PublishFault } from '@hemlocksill/errors/publish-errors.js';

/** Exit codes of the command line; the README lists them. */
export const exitCodes = {
  ok: 0,
  fault: 1,
  badInput: 2,
  superseded: 3,
  storeDown: 4,
  outcomeUnknown: 5,
  notConfirmed: 6,
} as const;

/** What a command prints and how it exits. */
export interface CommandResult {
  readonly code: number;
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

/** Describes a change that was not published. */
export const describePublishFault = (fault: PublishFault): CommandResult => {
  const describeByKind = {
    superseded: (f: PublishFault & { kind: 'superseded' }) => ({
      code: exitCodes.superseded,
      text: `superseded: another operator's change came first (document revision ${f.revision}); nothing of this change took effect. Run diff, then submit again.`,
    }),
    rejected: (f: PublishFault & { kind: 'rejected' }) => ({
      code: exitCodes.badInput,
      text: `rejected, nothing took effect:\n${f.reason}`,
    }),
    store: (f: PublishFault & { kind: 'store' }) => ({
      code: exitCodes.storeDown,
      text: `the store gives no answer (${f.fault}); the change did not take effect. Try again when the store is back.`,
    }),
    unknown: (f: PublishFault & { kind: 'unknown' }) => ({
      code: exitCodes.outcomeUnknown,
      text: `the store's answer was lost; the change may have taken effect. Ask with: hemlocksill settle ${f.writeId}`,
    }),
  };
  const describe = describeByKind[fault.kind] as (f: PublishFault) => {
    code: number;
    text: string;
  };
  const { code, text } = describe(fault);
  return { code, text, json: { error: fault } };
};
