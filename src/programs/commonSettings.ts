import { LOG_LEVELS } from '../adapters/log/index.js';
import {
  parseChoice,
  parseId,
  parseInteger,
  parseOptionalHostAndPort,
  parseUrl,
} from '../settings/index.js';

/** Maximum of settings for durations: one day in milliseconds. */
export const MAX_TIME_MS = 86_400_000;

/** Settings that all daemons share. */
export const commonSettings = {
  hostId: {
    flag: 'host-id',
    variable: 'BRONZELANDING_HOST_ID',
    description: 'Id of this host, as the host list has it',
    unit: 'id',
    parse: parseId,
  },
  dataCentre: {
    flag: 'data-centre',
    variable: 'BRONZELANDING_DATA_CENTRE',
    description: 'Data centre of this host',
    unit: 'id',
    parse: parseId,
  },
  keyValueService: {
    flag: 'key-value-service',
    variable: 'BRONZELANDING_KEY_VALUE_SERVICE',
    description: "Origin of the platform's key-value service (etcd v3 JSON gateway)",
    unit: 'URL',
    parse: parseUrl,
  },
  keyValueTimeoutMs: {
    flag: 'key-value-timeout-ms',
    variable: 'BRONZELANDING_KEY_VALUE_TIMEOUT_MS',
    description: 'Timeout of a call to the key-value service',
    unit: 'milliseconds',
    fallback: '1000',
    parse: parseInteger(10, MAX_TIME_MS),
  },
  hostList: {
    flag: 'host-list',
    variable: 'BRONZELANDING_HOST_LIST',
    description: "URL of the platform's list of hosts",
    unit: 'URL',
    parse: parseUrl,
  },
  hostListPollMs: {
    flag: 'host-list-poll-ms',
    variable: 'BRONZELANDING_HOST_LIST_POLL_MS',
    description: 'Time between two reads of the host list',
    unit: 'milliseconds',
    fallback: '1000',
    parse: parseInteger(10, MAX_TIME_MS),
  },
  statsd: {
    flag: 'statsd',
    variable: 'BRONZELANDING_STATSD',
    description: 'StatsD server for metrics as address:port; none when empty',
    unit: 'endpoint',
    fallback: '',
    parse: parseOptionalHostAndPort,
  },
  logLevel: {
    flag: 'log-level',
    variable: 'BRONZELANDING_LOG_LEVEL',
    description: `Lowest level that is logged: ${LOG_LEVELS.join(', ')}`,
    unit: 'word',
    fallback: 'info',
    parse: parseChoice(LOG_LEVELS),
  },
};
