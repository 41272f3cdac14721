import {
  parseAddress,
  parseInteger,
  parseKeySet,
  parseText,
  type SettingDefinition,
  type SettingValues,
} from '../../settings/index.js';
import { clientLimitSettings } from '../clientLimitSettings.js';
import { commonSettings, MAX_TIME_MS } from '../commonSettings.js';

const MAX_PORT = 65_535;
const MAX_BYTES = 1_073_741_824;
const MIN_SECRET_CHARACTERS = 16;

function buildPortSetting(
  flag: string,
  variable: string,
  description: string,
): SettingDefinition<number> {
  const parse = parseInteger(0, MAX_PORT);
  return {
    flag,
    variable,
    description: `${description}; 0 picks a free port`,
    unit: 'port',
    parse,
  };
}

function buildDurationSetting(
  flag: string,
  variable: string,
  description: string,
  fallback: string,
): SettingDefinition<number> {
  const parse = parseInteger(0, MAX_TIME_MS);
  return { flag, variable, description, unit: 'milliseconds', fallback, parse };
}

function buildSizeSetting(
  flag: string,
  variable: string,
  description: string,
  fallback: string,
): SettingDefinition<number> {
  return {
    flag,
    variable,
    description,
    unit: 'bytes',
    fallback,
    parse: parseInteger(1, MAX_BYTES),
  };
}

/** Settings of bronzelanding-entry. */
export const entrySettings = {
  ...commonSettings,
  address: {
    flag: 'address',
    variable: 'BRONZELANDING_ADDRESS',
    description: 'IP address on which this host listens and at which peers reach it',
    unit: 'IP number',
    parse: parseAddress,
  },
  callerPort: buildPortSetting('caller-port', 'BRONZELANDING_CALLER_PORT', 'Port for callers'),
  peerPort: buildPortSetting('peer-port', 'BRONZELANDING_PEER_PORT', 'Port for other entry hosts'),
  operatorPort: buildPortSetting(
    'operator-port',
    'BRONZELANDING_OPERATOR_PORT',
    'Port for status and withdrawals; only operators should have access',
  ),
  peerSecret: {
    flag: 'peer-secret',
    variable: 'BRONZELANDING_PEER_SECRET',
    description: 'Secret shared by all entry hosts',
    unit: 'text',
    parse: parseText(MIN_SECRET_CHARACTERS),
  },
  operatorKeys: {
    flag: 'operator-keys',
    variable: 'BRONZELANDING_OPERATOR_KEYS',
    description: "Operators' public keys as a JSON Web Key Set",
    unit: 'JSON',
    parse: parseKeySet,
  },
  maximumBodyBytes: buildSizeSetting(
    'maximum-body-bytes',
    'BRONZELANDING_MAXIMUM_BODY_BYTES',
    "Maximum size of the body of a caller's request",
    '1048576',
  ),
  maximumHeaderBytes: buildSizeSetting(
    'maximum-header-bytes',
    'BRONZELANDING_MAXIMUM_HEADER_BYTES',
    "Maximum size of the head of a caller's request",
    '16384',
  ),
  maximumResponseBytes: buildSizeSetting(
    'maximum-answer-bytes',
    'BRONZELANDING_MAXIMUM_ANSWER_BYTES',
    'Maximum size of a non-streamed response of a backend server',
    '8388608',
  ),
  headersTimeoutMs: buildDurationSetting(
    'headers-timeout-ms',
    'BRONZELANDING_HEADERS_TIMEOUT_MS',
    "Timeout for receiving the head of a caller's request",
    '10000',
  ),
  requestTimeoutMs: buildDurationSetting(
    'request-timeout-ms',
    'BRONZELANDING_REQUEST_TIMEOUT_MS',
    "Timeout for receiving a caller's request with its body",
    '30000',
  ),
  connectTimeoutMs: buildDurationSetting(
    'connect-timeout-ms',
    'BRONZELANDING_CONNECT_TIMEOUT_MS',
    'Timeout for connecting to a backend server',
    '500',
  ),
  backendHeadersTimeoutMs: buildDurationSetting(
    'backend-headers-timeout-ms',
    'BRONZELANDING_BACKEND_HEADERS_TIMEOUT_MS',
    "Timeout from a request to the head of a backend server's response, and from there to the end of one that is no stream",
    '120000',
  ),
  backendBodyTimeoutMs: buildDurationSetting(
    'backend-body-timeout-ms',
    'BRONZELANDING_BACKEND_BODY_TIMEOUT_MS',
    "Timeout between two chunks of a backend server's response",
    '30000',
  ),
  callerStallMs: buildDurationSetting(
    'caller-stall-ms',
    'BRONZELANDING_CALLER_STALL_MS',
    'Time for which a caller may stop reading a stream before the stream is aborted',
    '30000',
  ),
  drainMs: buildDurationSetting(
    'drain-ms',
    'BRONZELANDING_DRAIN_MS',
    'Time from "not ready" until new connections are refused in a planned stop',
    '5000',
  ),
  isolationTimeoutMs: buildDurationSetting(
    'cut-off-after-ms',
    'BRONZELANDING_CUT_OFF_AFTER_MS',
    'Time without contact to the key-value service and to a majority of hosts after which new requests are refused',
    '3000',
  ),
  heartbeatMs: buildDurationSetting(
    'heartbeat-ms',
    'BRONZELANDING_HEARTBEAT_MS',
    'Time between two heartbeats to each peer',
    '500',
  ),
  slotLeaseSeconds: {
    flag: 'share-term-seconds',
    variable: 'BRONZELANDING_SHARE_TERM_SECONDS',
    description:
      'Lease of the rate limit slots, which a host keeps for this time without the key-value service',
    unit: 'seconds',
    fallback: '900',
    parse: parseInteger(1, 86_400),
  },
  promptBytesPerToken: {
    flag: 'prompt-bytes-per-token',
    variable: 'BRONZELANDING_PROMPT_BYTES_PER_TOKEN',
    description:
      'Bytes of prompt charged as one token until the engine reports its count; with 1 the charge is never too low',
    unit: 'bytes',
    fallback: '1',
    parse: parseInteger(1, 16),
  },
  defaultMaximumTokens: {
    flag: 'default-maximum-tokens',
    variable: 'BRONZELANDING_DEFAULT_MAXIMUM_TOKENS',
    description: 'Output tokens of a request that sets no maximum',
    unit: 'tokens',
    fallback: '256',
    parse: parseInteger(1, 1_000_000),
  },
  ...clientLimitSettings,
};

/** Values of the settings of bronzelanding-entry. */
export type EntrySettings = SettingValues<typeof entrySettings>;
