import { z } from 'zod';
import type { ConcurrencyLimit } from '../decisions/concurrency/types.js';
import type { HeldTokens } from '../decisions/concurrency/addHeldTokens/index.js';

const count = z.number().nonnegative();
/** Shared parts in one report for one server; the tokens of further ones count for each host. */
export const MAX_REPORTED_PARTS = 64;

/** What a host reports for the limits of servers; absent in older versions, and where they are off. */
export const concurrencyReportSchema = z.object({
  /** Streams, and late ones, since the last report, by server. */
  streams: z.record(z.string(), z.tuple([count, count])),
  /** Memory that this host's requests hold: own tokens, and shared parts as hash and tokens. */
  held: z.record(
    z.string(),
    z.object({ own: count, parts: z.array(z.tuple([z.number(), count])).max(MAX_REPORTED_PARTS) }),
  ),
});
/** What the leader passes on of them. */
export const concurrencyViewSchema = z.object({
  /** Requests and tokens by server; only when they were learned anew since the last view. */
  limits: z.record(z.string(), z.tuple([count, count])).optional(),
  /** Memory that the requests of all hosts hold, by server, and the receiving host's own tokens of it. */
  held: z.record(z.string(), count),
  ownHeld: z.record(z.string(), count),
});

/** Report of a host as it is sent. */
export type SentConcurrencyReport = z.infer<typeof concurrencyReportSchema>;
/** View of the leader as it is sent. */
export type SentConcurrencyView = z.infer<typeof concurrencyViewSchema>;

/** Decodes what a host holds on one server. */
export function decodeHeldTokens(sent: SentConcurrencyReport['held'][string]): HeldTokens {
  return { ownTokens: sent.own, parts: new Map(sent.parts) };
}

/** Encodes what a host holds on one server. */
export function encodeHeldTokens({
  ownTokens,
  parts,
}: HeldTokens): SentConcurrencyReport['held'][string] {
  const sent = [...parts].slice(0, MAX_REPORTED_PARTS);
  const others = [...parts.values()].slice(MAX_REPORTED_PARTS);
  const own = others.reduce((sum, tokens) => sum + tokens, ownTokens);
  return { own: Math.round(own), parts: sent };
}

/** Encodes limits. */
export function encodeConcurrencyLimits(
  limits: ReadonlyMap<string, ConcurrencyLimit>,
): SentConcurrencyView['limits'] {
  return Object.fromEntries(
    [...limits].map(([server, { requests, tokens }]) => [
      server,
      [Math.round(requests), Math.round(tokens)],
    ]),
  );
}

/** Decodes limits. */
export function decodeConcurrencyLimits(
  sent: NonNullable<SentConcurrencyView['limits']>,
): Map<string, ConcurrencyLimit> {
  return new Map(
    Object.entries(sent).map(([server, [requests, tokens]]) => [server, { requests, tokens }]),
  );
}
