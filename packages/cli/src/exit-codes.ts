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

/** Output and exit code of a command. */
export interface CommandResult {
  readonly code: number;
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

/** Describes why a change was not published, or why the store could not be read. */
export const describePublishFault = (fault: PublishFault): CommandResult => {
  const describeByKind = {
    superseded: (f: PublishFault & { kind: 'superseded' }) => ({
      code: exitCodes.superseded,
      text: `superseded: another operator's change was published first (document revision ${f.revision}); this change had no effect. Run diff, then submit again.`,
    }),
    rejected: (f: PublishFault & { kind: 'rejected' }) => ({
      code: exitCodes.badInput,
      text: `rejected, nothing was changed:\n${f.reason}`,
    }),
    store: (f: PublishFault & { kind: 'store' }) => ({
      code: exitCodes.storeDown,
      text: `the store call failed (${f.fault}); nothing was changed. Try again when the store is reachable.`,
    }),
    unknown: (f: PublishFault & { kind: 'unknown' }) => ({
      code: exitCodes.outcomeUnknown,
      text: `the store's response was lost; the change may have taken effect. To find out, run: hemlocksill settle ${f.writeId}`,
    }),
  };
  const describe = describeByKind[fault.kind] as (f: PublishFault) => {
    code: number;
    text: string;
  };
  const { code, text } = describe(fault);
  return { code, text, json: { error: fault } };
};
