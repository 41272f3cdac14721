import { z } from 'zod';

const name = z.string().max(256);
const load = z.tuple([z.number(), z.number(), z.number(), z.number()]);
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
});
const totals = z.record(z.string(), z.number());

const fleetMessage = z.discriminatedUnion('type', [
  /** Opens a connection of the host that holds the command. */
  z.object({ type: z.literal('command'), host: name, fence: z.number() }),
  /** What one host tells the holder of the command. */
  z.object({
    type: z.literal('report'),
    host: name,
    incarnation: name,
    version: z.number(),
    /** Active requests, backlog tokens, held tokens and backlog tokens of urgent requests by server. */
    loads: z.record(z.string(), load),
    /** Tokens admitted since the host's start by organisation. */
    admitted: totals,
    /** Part of each organisation's admissions that this host was last told to be its own. */
    shares: totals,
    /** Work asked since the last report by `SERVICE/MODEL`. */
    demand: totals,
    /** Models and adapters with requests on their way, as `SERVER/MODEL` and `SERVER/MODEL/ADAPTER`. */
    inUse: z.array(z.string()),
    silent: z.array(name),
  }),
  /** What the holder of the command tells each host of all of them. */
  z.object({
    type: z.literal('view'),
    fence: z.number(),
    version: z.number(),
    hosts: z.number(),
    loads: z.record(z.string(), load),
    /** Tokens in the fleet's bucket of each organisation. */
    levels: totals,
    /** Part of what all hosts admitted lately that the host that gets this view admitted. */
    shares: totals,
    /** What the host that gets this view had reported. */
    ownLoads: z.record(z.string(), load),
    ownAdmitted: totals,
    /** Adapters by engine, as `MODEL/ADAPTER`; only of engines that changed since the last view. */
    adapters: z.record(z.string(), z.array(z.string())),
    /** Models about to leave an engine, as `SERVER/MODEL`. */
    leavingModels: z.array(z.string()),
    /** Models that some engine is loading, as `SERVICE/MODEL`. */
    loadingModels: z.array(z.string()),
    suspects: z.array(name),
    /** Whether the sender hears the store, so that its hosts need not watch it. */
    isCurrent: z.boolean(),
    /** Servers that changed since the last view, and those that are gone. */
    servers: z.array(server),
    removed: z.array(name),
  }),
  z.object({
    type: z.literal('wish'),
    id: z.number(),
    model: name,
    adapter: name,
    servers: z.array(name),
    /** Servers that said that they lack the adapter. */
    missing: z.array(name),
  }),
  z.object({
    type: z.literal('grant'),
    id: z.number(),
    server: name.optional(),
    readyInMs: z.number(),
  }),
  /** What a host has admitted, sent between reports while an organisation is in a rush. */
  z.object({
    type: z.literal('admissions'),
    host: name,
    incarnation: name,
    admitted: totals,
  }),
  /** The fleet's buckets, sent between views while an organisation is in a rush. */
  z.object({
    type: z.literal('levels'),
    levels: totals,
    shares: totals,
    ownAdmitted: totals,
  }),
  z.object({ type: z.literal('configurationRequest') }),
  z.object({ type: z.literal('configuration'), value: z.instanceof(Uint8Array) }),
]);

/** A message between hosts of a fleet. */
export type FleetMessage = z.infer<typeof fleetMessage>;
export type FleetReport = Extract<FleetMessage, { type: 'report' }>;
export type FleetLevelsMessage = Extract<FleetMessage, { type: 'levels' }>;
/** What a host has admitted since its start. */
export type HostAdmissions = Pick<FleetReport, 'host' | 'incarnation' | 'admitted'> &
  Partial<Pick<FleetReport, 'shares'>>;
export type FleetView = Extract<FleetMessage, { type: 'view' }>;

/** Parses a decoded frame; throws when it is no message of the fleet. */
export function parseFleetMessage(value: unknown): FleetMessage {
  return fleetMessage.parse(value);
}
