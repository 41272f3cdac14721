import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import { computeClientLimits } from '../decisions/clientLimits/computeClientLimits/index.js';
import type { ClientLimits } from '../decisions/clientLimits/types.js';
import { parseInteger, type SettingValues } from '../settings/index.js';

const MAX_BYTES = 1_099_511_627_776;
const MAX_COUNT = 1_000_000;

/** Settings of the limits on clients. The defaults are not reached by clients within the limits of the configuration. */
export const clientLimitSettings = {
  clientMemoryBytes: {
    flag: 'client-memory-bytes',
    variable: 'BRONZELANDING_CLIENT_MEMORY_BYTES',
    description:
      'Memory for request bodies, answers that are read whole or wait for their readers, and the overhead of requests; 0 takes a fifth of the heap limit',
    fallback: '0',
    unit: 'bytes',
    parse: parseInteger(0, MAX_BYTES),
  },
  maximumConnections: {
    flag: 'max-connections',
    variable: 'BRONZELANDING_MAX_CONNECTIONS',
    description:
      'Connections of callers; 0 takes one for each 100,000 bytes of the heap limit, at most three quarters of the open descriptors',
    fallback: '0',
    unit: 'count',
    parse: parseInteger(0, MAX_COUNT),
  },
  maximumWaitingRequests: {
    flag: 'max-waiting-requests',
    variable: 'BRONZELANDING_MAX_WAITING_REQUESTS',
    description: 'Requests of one connection without a complete answer, above which it is closed',
    fallback: '16',
    unit: 'count',
    parse: parseInteger(1, MAX_COUNT),
  },
  bodyBytesPerSecond: {
    flag: 'body-bytes-per-second',
    variable: 'BRONZELANDING_BODY_BYTES_PER_SECOND',
    description: 'Progress that a request body must make; a slower one is ended with status 408',
    fallback: '256',
    unit: 'bytes a second',
    parse: parseInteger(1, MAX_BYTES),
  },
  bodySpanMs: {
    flag: 'body-span-ms',
    variable: 'BRONZELANDING_BODY_SPAN_MS',
    description:
      'Span over which the progress of a body is measured, and longest wait of a body or an answer for memory',
    fallback: '5000',
    unit: 'milliseconds',
    parse: parseInteger(500, 3_600_000),
  },
  maximumDiscardedBytes: {
    flag: 'max-discarded-bytes',
    variable: 'BRONZELANDING_MAX_DISCARDED_BYTES',
    description: 'Bytes of a rejected request body that are read before its connection is closed',
    fallback: '262144',
    unit: 'bytes',
    parse: parseInteger(0, MAX_BYTES),
  },
  maximumFragmentedBodies: {
    flag: 'max-fragmented-bodies',
    variable: 'BRONZELANDING_MAX_FRAGMENTED_BODIES',
    description:
      'Request bodies in chunks of less than 64 bytes on average that are read at the same time; further ones get status 503',
    fallback: '4',
    unit: 'count',
    parse: parseInteger(1, MAX_COUNT),
  },
};

/** Reads the limit of open descriptors of this process; Infinity where the system does not tell. */
function readDescriptorLimit(): number {
  try {
    const match = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'));
    return match === null ? Infinity : Number(match[1]);
  } catch {
    // Not a Linux system.
    return Infinity;
  }
}

/** Resolves the limits on clients from the settings; a value of 0 is computed from the limits of this process. */
export function resolveClientLimits(
  settings: SettingValues<typeof clientLimitSettings>,
): ClientLimits {
  const computed = computeClientLimits({
    heapBytes: getHeapStatistics().heap_size_limit,
    descriptors: readDescriptorLimit(),
  });
  const { clientMemoryBytes, maximumConnections } = settings;
  return {
    memoryBytes: clientMemoryBytes === 0 ? computed.memoryBytes : clientMemoryBytes,
    maximumConnections: maximumConnections === 0 ? computed.maximumConnections : maximumConnections,
    maximumWaitingRequests: settings.maximumWaitingRequests,
    bodyBytesPerSecond: settings.bodyBytesPerSecond,
    bodySpanMs: settings.bodySpanMs,
    maximumDiscardedBytes: settings.maximumDiscardedBytes,
    maximumFragmentedBodies: settings.maximumFragmentedBodies,
  };
}
