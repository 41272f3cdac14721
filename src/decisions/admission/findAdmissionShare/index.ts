import { compareClasses } from '../computeClassShares/index.js';
import type { AdmissionClass, AdmissionLevel } from '../types.js';

/** What of a request decides whether it is admitted. */
export interface AdmissionRequest extends AdmissionClass {
  organisation: string;
  tokens: number;
}

/** Why a request may be refused. */
export const AdmissionReason = {
  /** Its class is refused in part. */
  class: 'class',
  /** Its organisation asks for more than its share. */
  organisation: 'organisation',
} as const;
export type AdmissionReason = (typeof AdmissionReason)[keyof typeof AdmissionReason];

/**
 * Finds the fraction of requests like the given one that a level admits. Answers waves in which some
 * classes or one organisation are refused, and large requests would be refused most.
 */
export function findAdmissionShare(
  level: AdmissionLevel,
  request: AdmissionRequest,
): { share: number; reason: AdmissionReason } {
  const own = level.organisations.find(
    (item) =>
      item.organisation === request.organisation &&
      item.priority === request.priority &&
      item.targetMs === request.targetMs,
  );
  if (own !== undefined) return { share: own.share, reason: AdmissionReason.organisation };
  // A class that nobody asked for lately has the share of the next more urgent one.
  const share = level.classes.reduce(
    (least, item) => (compareClasses(item, request) <= 0 ? Math.min(least, item.share) : least),
    1,
  );
  const isLarge = request.tokens >= level.largeTokens;
  return {
    share: isLarge ? Math.max(share, level.largeShare) : share,
    reason: AdmissionReason.class,
  };
}
