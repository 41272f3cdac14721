import { z } from 'zod';
import type { AdmissionDemand, AdmissionLevel } from '../decisions/admission/types.js';

/** Entries of the demand of one service in a report; the rest is added up without organisations. */
export const MAX_DEMAND_ENTRIES = 256;
const MAX_LEVEL_ENTRIES = 256;
const MAX_SIZES = 128;
const count = z.number().nonnegative();
const fraction = z.number().min(0).max(1);
const name = z.string().max(256);

/** What a host was asked for since its last report, by service. */
export const admissionSamplesSchema = z.record(
  z.string(),
  z.object({
    /** Streams that have ended, and those of them that began or paused too late. */
    streams: count,
    lateStreams: count,
    /** Priority, target, organisation, requests, large requests and work. */
    demand: z
      .array(z.tuple([z.number(), count, name, count, count, count]))
      .max(2 * MAX_DEMAND_ENTRIES),
    /** Requests by size: four steps for each power of two of the tokens. */
    sizes: z.array(count).max(MAX_SIZES),
  }),
);

/** Levels by service, as the leader sends them. */
export const admissionLevelsSchema = z.record(
  z.string(),
  z.object({
    refusedShare: fraction,
    /** Milliseconds since a leader computed the level. */
    ageMs: count,
    /** Priority, target and admitted share; the most urgent class first. */
    classes: z.array(z.tuple([z.number(), count, fraction])).max(MAX_LEVEL_ENTRIES),
    /** Organisation, priority, target and admitted share. */
    organisations: z.array(z.tuple([name, z.number(), count, fraction])).max(MAX_LEVEL_ENTRIES),
    largeTokens: count,
    largeShare: fraction,
    capacityInMs: count,
    /** Work that organisations usually ask for, from time to time, for the next leader. */
    usual: z.record(z.string(), count).optional(),
  }),
);

/** Samples as hosts report them to the leader. */
export type SentAdmissionSamples = z.infer<typeof admissionSamplesSchema>;
/** Levels as the leader sends them. */
export type SentAdmissionLevels = z.infer<typeof admissionLevelsSchema>;

const roundShare = (share: number): number => Math.round(1000 * share) / 1000;

/** Encodes the demand of one service. */
export function encodeDemand(
  demand: readonly AdmissionDemand[],
): SentAdmissionSamples[string]['demand'] {
  return demand.map((item) => [
    item.priority,
    item.targetMs,
    item.organisation,
    item.requests,
    item.largeRequests,
    Math.round(item.work),
  ]);
}

/** Decodes the demand of one service. */
export function decodeDemand(sent: SentAdmissionSamples[string]['demand']): AdmissionDemand[] {
  return sent.map(([priority, targetMs, organisation, requests, largeRequests, work]) => ({
    priority,
    targetMs,
    organisation,
    requests,
    largeRequests,
    work,
  }));
}

/** Encodes the level of one service. */
export function encodeAdmissionLevel(
  level: AdmissionLevel,
  ageMs: number,
): SentAdmissionLevels[string] {
  return {
    refusedShare: roundShare(level.refusedShare),
    ageMs: Math.max(0, Math.round(ageMs)),
    classes: level.classes.map((item) => [item.priority, item.targetMs, roundShare(item.share)]),
    organisations: level.organisations.map(({ organisation, priority, targetMs, share }) => [
      organisation,
      priority,
      targetMs,
      roundShare(share),
    ]),
    largeTokens: Math.round(level.largeTokens),
    largeShare: roundShare(level.largeShare),
    capacityInMs: Math.round(level.capacityInMs),
  };
}

/** Decodes the level of one service. */
export function decodeAdmissionLevel(sent: SentAdmissionLevels[string]): AdmissionLevel {
  const { refusedShare, largeTokens, largeShare, capacityInMs } = sent;
  return {
    refusedShare,
    largeTokens,
    largeShare,
    capacityInMs,
    classes: sent.classes.map(([priority, targetMs, share]) => ({ priority, targetMs, share })),
    organisations: sent.organisations.map(([organisation, priority, targetMs, share]) => ({
      organisation,
      priority,
      targetMs,
      share,
    })),
  };
}
