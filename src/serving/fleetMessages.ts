import { z } from 'zod';
import { admissionLevelsSchema, admissionSamplesSchema } from './admissionMessages.js';
import { concurrencyReportSchema, concurrencyViewSchema } from './concurrencyMessages.js';
import { paceSamplesSchema, serverPacesSchema } from './paceMessages.js';
import { prefixUsesSchema } from './prefixMessages.js';

/** Longest name of a server, model, adapter or data centre in a message. */
export const MAX_NAME_LENGTH = 256;
const name = z.string().max(MAX_NAME_LENGTH);
const loadTuple = z.tuple([z.number(), z.number(), z.number(), z.number()]);
const server = z.object({
  id: name,
  service: name,
  address: name,
  port: z.number(),
  dataCentre: name,
  slots: z.number(),
  isLeaving: z.boolean(),
  models: z.array(z.object({ name, adapters: z.array(name) })),
  incarnation: name,
  startedAtMs: z.number().optional(),
  renewals: z.number().optional(),
  /** Absent in older versions. */
  softwareVersion: name.optional(),
  /** Remaining cold time in milliseconds; absent in older versions. */
  coldRemainingMs: z.number().optional(),
});
const numbersByName = z.record(z.string(), z.number());

/** Crashes in one report; further ones follow with the next. */
export const MAX_REPORTED_CRASHES = 16;
/** Leaving servers in one report; the others follow once the leader passes these on. */
export const MAX_REPORTED_LEAVES = 256;
/** Prompt parts of one crash: a few for each request that a server has in its batch. */
export const MAX_CRASH_PARTS = 64;
const crash = z.object({
  /** Incarnation of the server. */
  server: name,
  ageMs: z.number(),
  parts: z.array(name).max(MAX_CRASH_PARTS),
});
/** Request limit of a server, as an incarnation of it named it in a response. */
const requestLimit = z.object({
  server: name,
  /** Requests per second from all hosts together; null once the server has no limit any more. */
  perSecond: z.number().nonnegative().nullable(),
  /** Milliseconds since the request was sent, and since its response arrived. */
  sentAgeMs: z.number(),
  receivedAgeMs: z.number(),
});
/** Remaining cold time of a server, as an incarnation of it named it in a response. */
const coldTime = z.object({
  server: name,
  remainingMs: z.number().nonnegative(),
  sentAgeMs: z.number(),
  receivedAgeMs: z.number(),
});
const quarantine = z.object({
  /** Parts of crashes for which hosts report whether they have served them. */
  watched: z.array(name),
  groups: z.array(
    z.object({ parts: z.array(name), crashes: z.number(), confirmations: z.number() }),
  ),
});

/** Evacuated data centres as of a revision of the store. */
const evacuations = z.object({
  revision: z.number(),
  /** Milliseconds since the leader knew that the set was complete. */
  ageMs: z.number().nonnegative().optional(),
  evacuated: z.array(
    z.object({
      dataCentre: name,
      /** Revision of the key. */
      revision: z.number(),
      /** Milliseconds for which the key may be missing after a restore; absent while it is present. */
      awaitedMs: z.number().nonnegative().optional(),
    }),
  ),
});

const fleetMessageSchema = z.discriminatedUnion('type', [
  /** Announces the sender as leader; the first message that a leader sends on a connection. */
  z.object({
    type: z.literal('command'),
    host: name,
    fence: z.number(),
    /** Rises with each connection under the fencing token; the highest one is in use. */
    number: z.number().optional(),
  }),
  /** State that each host reports to the leader every round. */
  z.object({
    type: z.literal('report'),
    host: name,
    incarnation: name,
    /** Number of this report since the host's start; absent in older versions. */
    number: z.number().optional(),
    /** Version of the configuration that the host has. */
    version: z.number(),
    /** Requests in flight, backlog tokens, reserved tokens and urgent backlog tokens by server. */
    loads: z.record(z.string(), loadTuple),
    /** Tokens admitted since the host's start, by organisation. */
    admitted: numbersByName,
    /** This host's share of each organisation's admissions, as last received from a leader. */
    shares: numbersByName,
    /** Work requested since the last report, in equivalent prompt tokens, by `SERVICE/MODEL`. */
    demand: numbersByName,
    /** Requests for models since the last report, by service; absent in older versions. */
    requests: numbersByName.default({}),
    /** Models and adapters of requests in flight: `SERVER/MODEL` and `SERVER/MODEL/ADAPTER`. */
    inUse: z.array(z.string()),
    /** Servers that have stopped responding to this host. */
    silent: z.array(name),
    /** Servers that this host cannot connect to; absent in older versions. */
    unreachable: z.array(name).default([]),
    /** Incarnations of servers that say that they leave, while the leader's views do not. */
    leaving: z.array(name).max(MAX_REPORTED_LEAVES).default([]),
    /** Request limits of servers that have changed since the last report to this leader. */
    limits: z.array(requestLimit).default([]),
    /** Cold times that responses to this host have changed; absent in older versions. */
    cold: z.array(coldTime).default([]),
    /** Servers that broke their connections to this host, since the last report to this leader. */
    crashes: z.array(crash).max(MAX_REPORTED_CRASHES).default([]),
    /** Milliseconds since this host last served requests with watched prompt parts, by part. */
    servedParts: z.array(z.tuple([name, z.number()])).default([]),
    /** What this host measured of the responses of servers since its last report. */
    paces: paceSamplesSchema.default({}),
    /** What callers asked this host for since its last report; absent in older versions. */
    admission: admissionSamplesSchema.optional(),
    /** For the limits of what servers run at once; absent in older versions, and where they are off. */
    concurrency: concurrencyReportSchema.optional(),
    /** Prompt parts of requests since the last report; absent without `prefix-reports`. */
    prefixUses: prefixUsesSchema.optional(),
  }),
  /** Aggregated state of the fleet that the leader sends to each host every round. */
  z.object({
    type: z.literal('view'),
    fence: z.number(),
    /** Last report that the leader had received from the receiving host; absent in older versions. */
    reportNumber: z.number().optional(),
    /** Age of the leader's list of servers in milliseconds; absent while it has not read one. */
    serversAgeMs: z.number().nonnegative().optional(),
    /** Version of the configuration that the leader has. */
    version: z.number(),
    /** Number of hosts. */
    hosts: z.number(),
    loads: z.record(z.string(), loadTuple),
    /** Level of the fleet-wide token bucket of each organisation. */
    levels: numbersByName,
    /** Receiving host's share of the fleet's recent admissions, by organisation. */
    shares: numbersByName,
    /** Loads and admissions of the receiving host that are included in this view. */
    ownLoads: z.record(z.string(), loadTuple),
    ownAdmitted: numbersByName,
    /** Adapters by engine, as `MODEL/ADAPTER`; only engines that changed since the last view. */
    adapters: z.record(z.string(), z.array(z.string())),
    /** Models about to be unloaded, as `SERVER/MODEL`. */
    leavingModels: z.array(z.string()),
    /** Milliseconds until models that are being loaded are expected to be ready, by `SERVICE/MODEL`. */
    loadingMs: numbersByName.default({}),
    /** Servers that enough hosts report as silent or unreachable. */
    suspects: z.array(name),
    /** Whether the leader's store watches are current, so that hosts need not watch the store. */
    isCurrent: z.boolean(),
    /** Whether the receiving host is to watch the leadership in the store; absent in older versions. */
    isStandby: z.boolean().default(false),
    /** Servers that changed, and ids of servers that were deregistered, since the last view. */
    servers: z.array(server),
    removed: z.array(name),
    /** Whether `servers` are all servers there are; absent in older versions. */
    isSnapshot: z.boolean().default(false),
    /** Prompt parts seen in crashes and those in quarantine; only when they have changed. */
    quarantine: quarantine.optional(),
    /** Request limits of all servers; only when one has changed since the last view. */
    limits: z.array(requestLimit).optional(),
    /** Absent in older versions, and without evacuations in the deployment. */
    evacuations: evacuations.optional(),
    /** Paces of all servers; only when they were computed anew since the last view. */
    paces: serverPacesSchema.optional(),
    /** Servers slower than others of their service; with the paces, absent in older versions. */
    paceExcesses: serverPacesSchema.optional(),
    /** Admission levels by service; absent in older versions and where there are none. */
    admission: admissionLevelsSchema.optional(),
    /** What servers may run at once; absent in older versions, and where these limits are off. */
    concurrency: concurrencyViewSchema.optional(),
    /** Prompt parts of requests from other hosts since the last view; absent without any. */
    prefixUses: prefixUsesSchema.optional(),
  }),
  /** Requests an adapter on one of the given servers, in order of preference. */
  z.object({
    type: z.literal('wish'),
    id: z.number(),
    model: name,
    adapter: name,
    servers: z.array(name),
    /** Servers that responded that they lack the adapter. */
    missing: z.array(name),
  }),
  /** Reply to a `wish`; without a server when no engine could provide the adapter. */
  z.object({
    type: z.literal('grant'),
    id: z.number(),
    server: name.optional(),
    readyInMs: z.number(),
  }),
  /** Admissions of a host, sent between reports while an organisation spends its burst quickly. */
  z.object({
    type: z.literal('admissions'),
    host: name,
    incarnation: name,
    admitted: numbersByName,
  }),
  /** Bucket levels, sent between views while an organisation spends its burst quickly. */
  z.object({
    type: z.literal('levels'),
    levels: numbersByName,
    shares: numbersByName,
    ownAdmitted: numbersByName,
  }),
  /** Asks to send one request to a server with a request limit. */
  z.object({
    type: z.literal('reserve'),
    id: z.number(),
    /** Incarnation of the server, and its limit as the sender knows it. */
    server: name,
    perSecond: z.number().nonnegative(),
    maximumWaitMs: z.number(),
  }),
  /** Reply to a `reserve`: when the request may be sent, or when the server takes one at the earliest. */
  z.object({
    type: z.literal('reservation'),
    id: z.number(),
    isGranted: z.boolean(),
    waitMs: z.number(),
  }),
  /** Asks whether a request with quarantined prompt parts may be sent to see if it still crashes. */
  z.object({ type: z.literal('trial'), id: z.number(), parts: z.array(name) }),
  z.object({ type: z.literal('trialReply'), id: z.number(), isGranted: z.boolean() }),
  z.object({ type: z.literal('configurationRequest') }),
  z.object({ type: z.literal('configuration'), value: z.instanceof(Uint8Array) }),
]);

/** A message between hosts of the fleet. */
export type FleetMessage = z.infer<typeof fleetMessageSchema>;
/** Report that a host sends to the leader every round. */
export type FleetReport = Extract<FleetMessage, { type: 'report' }>;
/** Bucket levels that the leader sends between views. */
export type FleetLevelsMessage = Extract<FleetMessage, { type: 'levels' }>;
/** Tokens that a host has admitted since its start, with its shares when taken from a report. */
export type HostAdmissions = Pick<FleetReport, 'host' | 'incarnation' | 'admitted'> &
  Partial<Pick<FleetReport, 'shares'>>;
/** A crash of a server as a host reports it. */
export type ReportedCrash = FleetReport['crashes'][number];
/** View of the fleet that the leader sends to a host every round. */
export type FleetView = Extract<FleetMessage, { type: 'view' }>;
/** Prompt parts in quarantine, and those watched, as the leader sends them. */
export type FleetQuarantine = NonNullable<FleetView['quarantine']>;

/** A request limit as hosts tell it to each other. */
export type SentRequestLimit = z.infer<typeof requestLimit>;

/** A cold time as hosts tell it to each other. */
export type SentColdTime = z.infer<typeof coldTime>;

/** Validates a decoded frame as a fleet message; throws when it is not one. */
export function parseFleetMessage(value: unknown): FleetMessage {
  return fleetMessageSchema.parse(value);
}
