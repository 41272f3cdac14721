import { parseInteger, parseNumber } from '../settings/index.js';

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
    parse: parseNumber(0, 1),
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
  concurrencyLateShare: {
    flag: 'concurrency-late-share',
    variable: 'BRONZELANDING_CONCURRENCY_LATE_SHARE',
    description:
      'Share of late streams, on routes that declare a longest pause, above which fewer requests run on an engine at once; 0 for no such limits.',
    fallback: '0',
    unit: 'number',
    parse: parseNumber(0, 1),
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
