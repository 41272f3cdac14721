import { z } from 'zod';
import type { PaceSample, ServerPace } from '../decisions/pace/types.js';
import type { ServerPaces } from './createServerPaces/index.js';

const count = z.number().nonnegative();
/** Streams, slow streams, measured and estimated milliseconds to the first bytes, by server. */
export const paceSamplesSchema = z.record(z.string(), z.tuple([count, count, count, count]));
/** Share of slow streams and ratio of measured to estimated time to first byte, by server. */
export const serverPacesSchema = z.record(z.string(), z.tuple([count, count]));

/** Samples as hosts report them to the leader. */
export type SentPaceSamples = z.infer<typeof paceSamplesSchema>;
/** Paces as the leader sends them. */
export type SentServerPaces = z.infer<typeof serverPacesSchema>;

/** Encodes the samples of a report. */
export function encodePaceSamples(samples: ReadonlyMap<string, PaceSample>): SentPaceSamples {
  return Object.fromEntries(
    [...samples].map(([server, { streams, slowStreams, measuredMs, estimatedMs }]) => [
      server,
      [streams, slowStreams, Math.round(measuredMs), Math.round(estimatedMs)],
    ]),
  );
}

/** Decodes the samples of a report. */
export function decodePaceSamples(sent: SentPaceSamples): Map<string, PaceSample> {
  return new Map(
    Object.entries(sent).map(([server, [streams, slowStreams, measuredMs, estimatedMs]]) => [
      server,
      { streams, slowStreams, measuredMs, estimatedMs },
    ]),
  );
}

/** Encodes paces with two decimals. */
export function encodeServerPaces(paces: ReadonlyMap<string, ServerPace>): SentServerPaces {
  return Object.fromEntries(
    [...paces].map(([server, { slowShare, latencyRatio }]) => [
      server,
      [Math.round(100 * slowShare) / 100, Math.round(100 * latencyRatio) / 100],
    ]),
  );
}

/** Decodes paces. */
export function decodeServerPaces(sent: SentServerPaces): Map<string, ServerPace> {
  return new Map(
    Object.entries(sent).map(([server, [slowShare, latencyRatio]]) => [
      server,
      { slowShare, latencyRatio },
    ]),
  );
}

/** Paces, and their excesses, as a view of the leader carries them. */
export interface SentPaces {
  /** Undefined where they have not changed. */
  paces?: SentServerPaces;
  /** Undefined in views without paces, and in those of older versions. */
  paceExcesses?: SentServerPaces;
}

/** Applies the paces of a view; with paces of an older version no server counts as slower than others. */
export function applyPaces(
  { paces, paceExcesses = {} }: SentPaces,
  serverPaces: Pick<ServerPaces, 'setFleetPaces' | 'setFleetExcesses'>,
): void {
  if (paces === undefined) return;
  serverPaces.setFleetPaces(decodeServerPaces(paces));
  serverPaces.setFleetExcesses(decodeServerPaces(paceExcesses));
}
