import { parseInteger, parseNumber } from '../settings/index.js';

const parseShare = parseNumber(0, 1);
const parseWeight = parseNumber(0, 10);

/** Settings of the decisions for heavy load. Each has no effect by default. */
export const loadSettings = {
  paceWeight: {
    flag: 'pace-weight',
    variable: 'BRONZELANDING_PACE_WEIGHT',
    description:
      'How much it counts in choices and plans that an engine is slower than the others of its service: more of its streams pause for longer than their routes accept; 0 for nothing.',
    fallback: '0',
    unit: 'number',
    parse: parseShare,
  },
  othersWeight: {
    flag: 'others-weight',
    variable: 'BRONZELANDING_OTHERS_WEIGHT',
    description:
      'How much the delay of other requests counts against its own when a stream whose route declares a longest pause chooses an engine; 0 for nothing.',
    fallback: '0',
    unit: 'number',
    parse: parseWeight,
  },
  backlogWeight: {
    flag: 'backlog-weight',
    variable: 'BRONZELANDING_BACKLOG_WEIGHT',
    description:
      'How much prompts that wait at an engine count in the plan of replicas, where routes declare a longest pause; 0 for nothing.',
    fallback: '0',
    unit: 'number',
    parse: parseWeight,
  },
  cacheAging: {
    flag: 'cache-aging',
    variable: 'BRONZELANDING_CACHE_AGING',
    description:
      'How far an estimated prefix cache ages with what its engine has processed instead of after 8 s, for routes that declare a longest pause; 0 for not at all.',
    fallback: '0',
    unit: 'number',
    parse: parseShare,
  },
  prefixReports: {
    flag: 'prefix-reports',
    variable: 'BRONZELANDING_PREFIX_REPORTS',
    description:
      'Uses of prompt parts that a host tells the others in a round at most, for estimates of prefix caches; 0 for none.',
    fallback: '0',
    unit: 'number',
    parse: parseNumber(0, 1024),
  },
  maximumRefusedShare: {
    flag: 'max-refused-share',
    variable: 'BRONZELANDING_MAX_REFUSED_SHARE',
    description:
      'Highest part of the work of a service that is refused by priority while its engines are short of capacity, where routes declare a longest pause; 0 for no admission levels.',
    fallback: '0',
    unit: 'number',
    parse: parseNumber(0, 0.95),
  },
  fairWeight: {
    flag: 'fair-weight',
    variable: 'BRONZELANDING_FAIR_WEIGHT',
    description:
      'Part of what an admission level refuses that falls first on organisations that send many times their usual; 0 for none.',
    fallback: '0',
    unit: 'number',
    parse: parseNumber(0, 1),
  },
  concurrencyLateShare: {
    flag: 'concurrency-late-share',
    variable: 'BRONZELANDING_CONCURRENCY_LATE_SHARE',
    description:
      'Share of late streams, on routes that declare a longest pause, above which fewer requests run on an engine at once; 0 for no such limits.',
    fallback: '0',
    unit: 'number',
    parse: parseNumber(0, 1),
  },
  copyWeight: {
    flag: 'copy-weight',
    variable: 'BRONZELANDING_COPY_WEIGHT',
    description:
      'How much another copy of a prompt prefix costs in the choice of an engine, in multiples of its prefill, for routes that declare a longest pause; 0 for nothing.',
    fallback: '0',
    unit: 'number',
    parse: parseWeight,
  },
  knownWeight: {
    flag: 'known-weight',
    variable: 'BRONZELANDING_KNOWN_WEIGHT',
    description:
      'How far only what hosts have sent there counts as cached at the preferred engine of a prefix, for routes that declare a longest pause; 0 for the whole prefix.',
    fallback: '0',
    unit: 'number',
    parse: parseShare,
  },
  hostQueueLength: {
    flag: 'host-queue-length',
    variable: 'BRONZELANDING_HOST_QUEUE_LENGTH',
    description:
      'Most requests that wait at this host while no engine is below its limit of requests at once; further ones, and those that would begin late, are refused. 0 for no queue; they are then sent beyond the limits.',
    fallback: '0',
    unit: 'count',
    parse: parseInteger(0, 100_000),
  },
  hostQueueTargets: {
    flag: 'host-queue-targets',
    variable: 'BRONZELANDING_HOST_QUEUE_TARGETS',
    description:
      'Multiples of the latency target of its route within which a request that waits in the queue of this host has to begin.',
    fallback: '1',
    unit: 'number',
    parse: parseWeight,
  },
} as const;
