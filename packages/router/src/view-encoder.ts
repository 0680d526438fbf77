import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';
import { err, ok, type Result } from 'neverthrow';
import type { StoreEntry } from '@hemlocksill/types/ports.js';
import type { RawView } from './view-controller.js';

/** Size of the pieces in which zlib produces its output; each piece costs a call. */
const pieceBytes = 256 * 1_024;

const gzipAsync = promisify(gzip);
const gunzipAsync = promisify(gunzip);

/** Encodes responses to peers. */
export interface ViewEncoder {
  readonly encode: (id: unknown, view: RawView, isCompressed: boolean) => Promise<Buffer>;
}

/** A configuration as it is sent, kept because all VMs fetch the same one. */
interface EncodedConfig {
  readonly entry: StoreEntry;
  readonly json: Buffer;
  gzip: Promise<Buffer> | undefined;
}

/**
 * Makes an encoder of JSON-RPC responses that serialises and compresses each configuration once. The
 * parts of a compressed response are members of one gzip stream (RFC 1952, 2.2).
 *
 * @example
 * await makeViewEncoder().encode(1, { config: undefined, servers: [], removed: [] }, true);
 */
export const makeViewEncoder = (): ViewEncoder => {
  let cached: EncodedConfig | undefined;

  const encodeConfig = (entry: StoreEntry): EncodedConfig => {
    if (cached?.entry !== entry)
      cached = { entry, json: Buffer.from(JSON.stringify(entry)), gzip: undefined };
    return cached;
  };

  return {
    encode: async (id, { config, servers, removed }, isCompressed) => {
      const head = Buffer.from(
        `{"jsonrpc":"2.0","id":${JSON.stringify(id)},"result":{${config ? '"config":' : ''}`,
      );
      const rest = JSON.stringify({ servers, removed }).slice(1);
      const tail = Buffer.from(`${config ? ',' : ''}${rest}}`);
      const encoded = config && encodeConfig(config);
      if (!isCompressed) return Buffer.concat([head, encoded?.json ?? Buffer.alloc(0), tail]);
      if (!encoded) return gzipAsync(Buffer.concat([head, tail]));
      encoded.gzip ??= gzipAsync(encoded.json, { chunkSize: pieceBytes });
      return Buffer.concat(await Promise.all([gzipAsync(head), encoded.gzip, gzipAsync(tail)]));
    },
  };
};

/**
 * Decompresses a response, up to a size.
 *
 * @example
 * await decompress(bytes, 1_024);
 */
export const decompress = async (
  bytes: Buffer,
  maxBytes: number,
): Promise<Result<Buffer, string>> => {
  try {
    return ok(await gunzipAsync(bytes, { maxOutputLength: maxBytes, chunkSize: pieceBytes }));
  } catch (error) {
    return err(error instanceof Error ? error.message : 'unknown error');
  }
};
