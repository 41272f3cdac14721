import { gunzipSync, gzipSync } from 'node:zlib';

const MIN_COMPRESSED_BYTES = 4096; // a smaller value takes less than a view of the fleet
const MAX_CONFIGURATION_BYTES = 4_194_304; // far above what a key of the store holds
const GZIP_MAGIC = Buffer.from([0x1f, 0x8b]); // no configuration in text begins with these bytes

/**
 * Compresses a configuration for the hosts that the leader passes it on to. The leader of hundreds of
 * hosts sends it to all of them at one moment: without compression a configuration with many routes
 * occupies its link for longer than the lease of the leadership lasts.
 */
export function encodeConfigurationValue(value: Uint8Array): Buffer<ArrayBuffer> {
  return Buffer.from(value.length < MIN_COMPRESSED_BYTES ? value : gzipSync(value, { level: 1 }));
}

/** Returns a configuration as its operators wrote it; throws when it is too long or damaged. */
export function decodeConfigurationValue(value: Uint8Array): Buffer {
  const bytes = Buffer.from(value);
  return bytes.subarray(0, GZIP_MAGIC.length).equals(GZIP_MAGIC)
    ? gunzipSync(bytes, { maxOutputLength: MAX_CONFIGURATION_BYTES })
    : bytes;
}
