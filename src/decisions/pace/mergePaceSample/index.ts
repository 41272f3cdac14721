import type { PaceSample } from '../types.js';

/** A sample without any response. */
export const EMPTY_PACE_SAMPLE: PaceSample = {
  streams: 0,
  slowStreams: 0,
  measuredMs: 0,
  estimatedMs: 0,
};

/** Adds two samples of one server; the older one counts by a factor from 0 to 1. */
export function mergePaceSample(older: PaceSample, newer: PaceSample, factor = 1): PaceSample {
  return {
    streams: factor * older.streams + newer.streams,
    slowStreams: factor * older.slowStreams + newer.slowStreams,
    measuredMs: factor * older.measuredMs + newer.measuredMs,
    estimatedMs: factor * older.estimatedMs + newer.estimatedMs,
  };
}
