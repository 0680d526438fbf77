import { randomBytes } from 'node:crypto';
import { userInfo } from 'node:os';
import { readDocument } from '@hemlocksill/config/document.js';
import type { OperatorSettings } from '@hemlocksill/config/settings.js';
import {
  assembleDocumentChange,
  assembleKeyAddition,
  assembleKeyWithdrawal,
  assemblePromotion,
} from '@hemlocksill/revisions/changes.js';
import type { ChangeAuthor } from '@hemlocksill/revisions/head.js';
import { makeKey } from '@hemlocksill/revisions/keys.js';
import { joinDocument, parseKeyPart } from '@hemlocksill/revisions/parts.js';
import {
  publishChange,
  readPublished,
  settlePublish,
  type AssembleChange,
} from '@hemlocksill/revisions/publish.js';
import { getStoreKeys } from '@hemlocksill/revisions/store-keys.js';
import { assembleReport } from '@hemlocksill/report/assemble-report.js';
import type { BurnExport } from '@hemlocksill/report/burn-recorder.js';
import { renderHtml } from '@hemlocksill/report/render-html.js';
import { renderTable, renderText } from '@hemlocksill/report/render-text.js';
import { makeHttpStore } from '@hemlocksill/store/http-store.js';
import type { Store } from '@hemlocksill/types/ports.js';
import { waitForConfirmation, type Confirmation } from './confirm.js';
import { diffFields } from './diff-fields.js';
import { describePublishFault, exitCodes, type CommandResult } from './exit-codes.js';
import { listVms, makeCallVm, type CallVm } from './vm-client.js';

/** Settings and clients that a command uses. */
export interface CommandContext {
  readonly settings: OperatorSettings;
  readonly store: Store;
  readonly callVm: CallVm;
}

/** Makes the context of a command from its settings. */
export const makeCommandContext = (settings: OperatorSettings): CommandContext => ({
  settings,
  store: makeHttpStore(settings.storeUrls, () => {}),
  callVm: makeCallVm(settings),
});

const makeAuthor = (): ChangeAuthor => ({
  writeId: randomBytes(8).toString('hex'),
  operator: userInfo().username,
  at: new Date().toISOString(),
});

const describeConfirmation = (confirmation: Confirmation, summary: string): CommandResult => {
  const isConfirmedByAll = confirmation.missing.length === 0;
  const text = isConfirmedByAll
    ? `${summary}; revision ${confirmation.revision} is in force on ${confirmation.confirmed.length} VMs`
    : `${summary}; revision ${confirmation.revision} is accepted but not confirmed by: ${confirmation.missing.join(', ')}`;
  return {
    code: isConfirmedByAll ? exitCodes.ok : exitCodes.notConfirmed,
    text,
    json: confirmation,
  };
};

const publish = async (
  ctx: CommandContext,
  change: AssembleChange,
  waitMs: number,
  summary: string,
): Promise<CommandResult> => {
  const { environment } = ctx.settings;
  const keys = getStoreKeys(environment);
  const revision = await publishChange(ctx.store, keys, makeAuthor(), change);
  if (revision.isErr()) return describePublishFault(revision.error);
  const deadline = Date.now() + waitMs;
  const confirmation = await waitForConfirmation(
    ctx.store,
    environment,
    ctx.callVm,
    revision.value,
    deadline,
  );
  return describeConfirmation(confirmation, summary);
};

/** Validates a document locally, without contacting the store. */
export const checkDocument = (text: string): CommandResult => {
  const checked = readDocument(text);
  if (checked.isErr())
    return {
      code: exitCodes.badInput,
      text: checked.error.message,
      json: { problems: checked.error.problems },
    };
  const { workspaces, pools, backendServers, routes } = checked.value;
  const counts = {
    workspaces: workspaces.size,
    pools: pools.size,
    backendServers: backendServers.size,
    routes: routes.length,
  };
  const countTexts = Object.entries(counts).map(([name, count]) => `${name}: ${count}`);
  return {
    code: exitCodes.ok,
    text: `the document is valid (${countTexts.join(', ')})`,
    json: counts,
  };
};

/** Shows the document in force. */
export const showDocument = async (ctx: CommandContext): Promise<CommandResult> => {
  const published = await readPublished(ctx.store, getStoreKeys(ctx.settings.environment));
  if (published.isErr()) return describePublishFault(published.error);
  const text = joinDocument(published.value.parts);
  const documentRevision = published.value.head?.documentRevision ?? 0;
  const header = `; environment ${ctx.settings.environment}, document revision ${documentRevision}\n`;
  return { code: exitCodes.ok, text: header + text, json: { documentRevision, text } };
};

/** Compares a document with the document in force. */
export const diffDocument = async (ctx: CommandContext, text: string): Promise<CommandResult> => {
  const published = await readPublished(ctx.store, getStoreKeys(ctx.settings.environment));
  if (published.isErr()) return describePublishFault(published.error);
  const lines = diffFields(joinDocument(published.value.parts), text);
  const base = published.value.head?.documentRevision ?? 0;
  const summary = lines.length === 0 ? 'no differences' : lines.join('\n');
  return {
    code: exitCodes.ok,
    text: `against document revision ${base}:\n${summary}`,
    json: { base, lines },
  };
};

/** Submits a document and waits until it is in force everywhere. */
export const submitDocument = (
  ctx: CommandContext,
  text: string,
  base: number | undefined,
  waitMs: number,
): Promise<CommandResult> =>
  publish(ctx, assembleDocumentChange(text, base), waitMs, 'document accepted');

/** Puts the document of one environment into force in another, which keeps its backend servers. */
export const promoteDocument = async (
  from: CommandContext,
  to: CommandContext,
  waitMs: number,
): Promise<CommandResult> => {
  const source = await readPublished(from.store, getStoreKeys(from.settings.environment));
  if (source.isErr()) return describePublishFault(source.error);
  if (!source.value.head)
    return {
      code: exitCodes.badInput,
      text: 'the source environment has no document to promote',
      json: {},
    };
  const sourceText = joinDocument(source.value.parts);
  // Each write attempt assembles the change from the document in force at that time.
  const change: AssembleChange = (current) =>
    assembleDocumentChange(
      assemblePromotion(sourceText, joinDocument(current.parts)),
      undefined,
    )(current);
  return publish(to, change, waitMs, `promoted to ${to.settings.environment}`);
};

/** Creates a key for a workspace. The key's text is not stored and is shown only here. */
export const addKey = async (
  ctx: CommandContext,
  workspace: string,
  waitMs: number,
): Promise<CommandResult> => {
  const key = makeKey(ctx.settings.environment, workspace, new Date().toISOString());
  const result = await publish(ctx, assembleKeyAddition(key.record), waitMs, 'key created');
  const isAccepted = result.code === exitCodes.ok || result.code === exitCodes.notConfirmed;
  if (!isAccepted) return result;
  return {
    code: result.code,
    text: `${result.text}\nkey id: ${key.record.id}\nkey: ${key.text}`,
    json: { ...(result.json as object), id: key.record.id, key: key.text },
  };
};

/** Withdraws the key with the given id. */
export const withdrawKey = (
  ctx: CommandContext,
  keyId: string,
  waitMs: number,
): Promise<CommandResult> => publish(ctx, assembleKeyWithdrawal(keyId), waitMs, 'key withdrawn');

/** Lists keys by id; their texts are not stored. */
export const listKeys = async (ctx: CommandContext): Promise<CommandResult> => {
  const published = await readPublished(ctx.store, getStoreKeys(ctx.settings.environment));
  if (published.isErr()) return describePublishFault(published.error);
  const records = [...published.value.parts]
    .filter(([name]) => name.startsWith('keys/'))
    .flatMap(([, text]) => parseKeyPart(text))
    .map(({ id, workspace, givenAt }) => ({ id, workspace, givenAt }));
  const lines = records.map((record) => [record.id, record.workspace, record.givenAt]);
  return {
    code: exitCodes.ok,
    text: renderTable(['key id', 'workspace', 'given at'], lines),
    json: { keys: records },
  };
};

/** Reports whether a change whose response was lost took effect. */
export const settleWrite = async (ctx: CommandContext, writeId: string): Promise<CommandResult> => {
  const keys = getStoreKeys(ctx.settings.environment);
  const settled = await settlePublish(ctx.store, keys, writeId);
  if (settled.isErr()) return describePublishFault(settled.error);
  const revision = settled.value;
  const text =
    revision === undefined
      ? 'the change has not taken effect'
      : `the change took effect as revision ${revision}`;
  return { code: exitCodes.ok, text, json: { writeId, revision: revision ?? null } };
};

/** Fields of a VM's status that the table shows. */
interface VmStatus {
  readonly ready: boolean;
  readonly revision: number;
  readonly storeReachable: boolean;
  readonly openRequests: number;
  readonly rateShards: number;
  readonly pools: Readonly<Record<string, unknown>>;
}

const formatStoreReachable = (status: VmStatus | undefined): string => {
  if (!status) return '-';
  return status.storeReachable ? 'yes' : 'no';
};

/** Shows the status of every VM that is registered in the store. */
export const showStatus = async (ctx: CommandContext): Promise<CommandResult> => {
  const vms = await listVms(ctx.store, ctx.settings.environment);
  if (vms.isErr()) return describePublishFault({ kind: 'store', fault: vms.error });
  const statuses = await Promise.all(
    vms.value.map(async (vm) => {
      const response = await ctx.callVm(vm, 'GET', '/status', '');
      return {
        vm,
        status: response.isOk() ? (response.value as VmStatus) : undefined,
        fault: response.isErr() ? response.error : undefined,
      };
    }),
  );
  const lines = statuses.map(({ vm, status, fault }) => [
    vm.vm,
    vm.dataCentre,
    vm.state,
    status ? String(status.revision) : '-',
    formatStoreReachable(status),
    status ? String(status.openRequests) : '-',
    status ? String(status.rateShards) : '-',
    status ? Object.keys(status.pools).join(' ') : (fault ?? ''),
  ]);
  const titles = ['vm', 'data centre', 'state', 'revision', 'store', 'open', 'shards', 'pools'];
  const hasUnresponsiveVm = statuses.some((entry) => entry.status === undefined);
  return {
    code: hasUnresponsiveVm ? exitCodes.notConfirmed : exitCodes.ok,
    text: renderTable(titles, lines),
    json: { vms: statuses },
  };
};

/** Merges the burn data of all VMs into a report, with its HTML page. */
export const reportBurn = async (
  ctx: CommandContext,
): Promise<{ result: CommandResult; html: string }> => {
  const vms = await listVms(ctx.store, ctx.settings.environment);
  if (vms.isErr())
    return { result: describePublishFault({ kind: 'store', fault: vms.error }), html: '' };
  const exports: BurnExport[] = [];
  const missing: string[] = [];
  await Promise.all(
    vms.value.map(async (vm) => {
      const response = await ctx.callVm(vm, 'GET', '/burn', '');
      if (response.isOk()) exports.push(response.value as BurnExport);
      else missing.push(vm.vm);
    }),
  );
  const at = new Date().toISOString();
  const report = assembleReport(ctx.settings.environment, exports, missing, at);
  const code = missing.length > 0 ? exitCodes.notConfirmed : exitCodes.ok;
  return { result: { code, text: renderText(report), json: report }, html: renderHtml(report) };
};
