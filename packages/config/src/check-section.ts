import { z } from 'zod';
import type { ConfigProblem } from '@hemlocksill/errors/config-errors.js';
import type { IniSection } from './ini-lines.js';

/** An integer from `min` to `max`, written in decimal digits. */
export const wholeNumber = (min: number, max = Number.MAX_SAFE_INTEGER) =>
  z
    .string()
    .regex(/^\d+$/, 'must be a whole number')
    .transform(Number)
    .pipe(z.number().min(min).max(max));

/** A number greater than 0 and less than 1. */
export const fraction = z
  .string()
  .regex(/^0?\.\d+$/, 'must be a number between 0 and 1')
  .transform(Number)
  .pipe(z.number().gt(0).lt(1));

/** `yes` or `no`. */
export const yesNo = z.enum(['yes', 'no'], 'must be yes or no').transform((v) => v === 'yes');

/** A name of letters, digits and hyphens. */
export const plainName = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or hyphens');

/** An HTTP base URL whose host is an IP address. */
export const ipUrl = z
  .string()
  .regex(
    /^https?:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    'must be http(s)://IP:port, without a path',
  );

const describeIssue = (section: IniSection, issue: z.core.$ZodIssue): ConfigProblem[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      line: section.lines[key] ?? section.line,
      field: `${section.header}.${key}`,
      reason: 'unknown field',
    }));
  }
  const key = String(issue.path[0] ?? '');
  const isMissing = section.values[key] === undefined;
  return [
    {
      line: section.lines[key] ?? section.line,
      field: `${section.header}.${key}`,
      reason: isMissing ? 'missing' : issue.message,
    },
  ];
};

/** Validates a section against a schema and appends the errors found to `problems`. */
export const checkSection = <T>(
  section: IniSection,
  schema: z.ZodType<T>,
  problems: ConfigProblem[],
): T | undefined => {
  const parsed = schema.safeParse(section.values);
  if (parsed.success) return parsed.data;
  problems.push(...parsed.error.issues.flatMap((issue) => describeIssue(section, issue)));
  return undefined;
};
