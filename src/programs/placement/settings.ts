import { parseInteger, parseKeySet, parseUrl, type SettingValues } from '../../settings/index.js';
import { commonSettings, MAX_TIME_MS } from '../commonSettings.js';

/** Settings of bronzelanding-placement. */
export const placementSettings = {
  ...commonSettings,
  operatorKeys: {
    flag: 'operator-keys',
    variable: 'BRONZELANDING_OPERATOR_KEYS',
    description: "Operators' public keys as a JSON Web Key Set",
    unit: 'JSON',
    parse: parseKeySet,
  },
  entryStatus: {
    flag: 'entry-status',
    variable: 'BRONZELANDING_ENTRY_STATUS',
    description: "Origin of an entry host's operator port, from which the demand is read",
    unit: 'URL',
    parse: parseUrl,
  },
  leaseSeconds: {
    flag: 'lease-seconds',
    variable: 'BRONZELANDING_LEASE_SECONDS',
    description: 'Lease of the leading placement process',
    unit: 'seconds',
    fallback: '5',
    parse: parseInteger(1, 3600),
  },
  roundMs: {
    flag: 'round-ms',
    variable: 'BRONZELANDING_ROUND_MS',
    description: 'Time between two planning rounds',
    unit: 'milliseconds',
    fallback: '250',
    parse: parseInteger(10, MAX_TIME_MS),
  },
  reportPollMs: {
    flag: 'report-poll-ms',
    variable: 'BRONZELANDING_REPORT_POLL_MS',
    description: "Time between two reads of an engine's report",
    unit: 'milliseconds',
    fallback: '500',
    parse: parseInteger(10, MAX_TIME_MS),
  },
  orderAgeMs: {
    flag: 'order-age-ms',
    variable: 'BRONZELANDING_ORDER_AGE_MS',
    description:
      'Maximum time after which an order can still reach an engine that ignores fencing numbers',
    unit: 'milliseconds',
    fallback: '5000',
    parse: parseInteger(0, MAX_TIME_MS),
  },
  unreachableMs: {
    flag: 'unreachable-ms',
    variable: 'BRONZELANDING_UNREACHABLE_MS',
    description:
      'Time without a report after which the replicas of an engine are replaced on other engines',
    unit: 'milliseconds',
    fallback: '3000',
    parse: parseInteger(10, MAX_TIME_MS),
  },
};

/** Values of the settings of bronzelanding-placement. */
export type PlacementSettings = SettingValues<typeof placementSettings>;
