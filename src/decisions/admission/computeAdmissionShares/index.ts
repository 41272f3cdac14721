import { compareClasses, computeRefusedFractions } from '../computeClassShares/index.js';
import {
  computeOrganisationExcess,
  type OrganisationWork,
} from '../computeOrganisationExcess/index.js';
import type { AdmissionDemand, AdmissionShares, ClassShare, OrganisationShare } from '../types.js';

/** What is refused of the demand of a service. */
export interface AdmissionSharesOptions {
  /** Part of the work that is refused, from 0 to 1. */
  refusedShare: number;
  /** Work of each organisation over all classes, in the unit of the demand. */
  organisations: ReadonlyMap<string, OrganisationWork>;
  /** Part of what is refused that falls on organisations above their allowance first; 0 for none. */
  fairWeight: number;
}

// Promised are a quarter of the share of all requests, and half of it for the largest tenth; the rest
// is for requests that are admitted and late.
const KEPT_FRACTION = 0.3;
const LARGE_KEPT_FRACTION = 0.6;
const MAX_RESTRICTED = 64; // entries of organisations in one view; those with the most work are listed

/** Groups the demand by class, the most urgent one first. */
function splitByClass(demand: readonly AdmissionDemand[]): AdmissionDemand[][] {
  const groups: AdmissionDemand[][] = [];
  for (const item of [...demand].sort(compareClasses)) {
    const group = groups.at(-1);
    if (group?.[0] !== undefined && compareClasses(group[0], item) === 0) group.push(item);
    else groups.push([item]);
  }
  return groups;
}

/**
 * Raises the share of each class to what the later ones get with their large requests, so that the
 * share that large requests keep does not put a class behind a less urgent one.
 */
function applyLaterShares(
  classes: readonly ClassShare[],
  largeFractions: readonly number[],
  largeShare: number,
) {
  const raised: ClassShare[] = [];
  let least = 0;
  for (let index = classes.length - 1; index >= 0; index -= 1) {
    const item = classes[index];
    if (item === undefined) continue;
    const share = Math.max(item.share, least);
    const large = largeFractions[index] ?? 0;
    least = (1 - large) * share + large * Math.max(share, largeShare);
    raised.unshift({ ...item, share });
  }
  return raised;
}

/**
 * Computes which fraction of each class, and of organisations above their share, is admitted while a
 * part of the work is refused. Answers waves above what the engines process, alone and with one
 * organisation that sends many times its usual. No class gets less than a later one, and each class,
 * organisation and size keeps a part of what all requests get.
 */
export function computeAdmissionShares(
  demand: readonly AdmissionDemand[],
  { refusedShare, organisations, fairWeight }: AdmissionSharesOptions,
): AdmissionShares {
  const groups = splitByClass(demand);
  const sumWork = (
    items: readonly AdmissionDemand[],
    read = (item: AdmissionDemand) => item.work,
  ) => items.reduce((sum, item) => sum + read(item), 0);
  const refusedWork = refusedShare * sumWork(demand);
  const keptShare = KEPT_FRACTION * (1 - refusedShare);
  const largeShare = LARGE_KEPT_FRACTION * (1 - refusedShare);
  const excess = computeOrganisationExcess(organisations, fairWeight * refusedWork);
  const findExcessFraction = (organisation: string): number => {
    const recent = organisations.get(organisation)?.recent ?? 0;
    if (recent <= 0) return 0;
    return Math.min(1 - keptShare, (excess.get(organisation) ?? 0) / recent);
  };
  const works = groups.map((items) => ({
    work: sumWork(items),
    excess: sumWork(items, (item) => item.work * findExcessFraction(item.organisation)),
  }));
  const fractions = computeRefusedFractions(works, { refusedWork, keptShare });
  const restricted: (OrganisationShare & { work: number })[] = [];
  const classes = groups.flatMap((items, index): ClassShare[] => {
    const [first] = items;
    const { work = 0, excess: classExcess = 0 } = works[index] ?? {};
    const refused = (fractions[index] ?? 0) * work;
    if (first === undefined) return [];
    const { priority, targetMs } = first;
    const excessFactor = classExcess > 0 ? Math.min(1, refused / classExcess) : 0;
    const rest = Math.max(0, refused - classExcess);
    const share = Math.max(keptShare, 1 - (rest > 0 ? rest / (work - classExcess) : 0));
    for (const item of items) {
      const fraction = excessFactor * findExcessFraction(item.organisation);
      if (fraction <= 0) continue;
      const ownShare = Math.max(keptShare, (1 - fraction) * share);
      const { organisation } = item;
      restricted.push({ organisation, priority, targetMs, share: ownShare, work: item.work });
    }
    return [{ priority, targetMs, share }];
  });
  const largeFractions = groups.map(
    (items) =>
      sumWork(items, ({ largeRequests }) => largeRequests) /
      Math.max(
        1e-9,
        sumWork(items, ({ requests }) => requests),
      ),
  );
  return {
    classes: applyLaterShares(classes, largeFractions, largeShare),
    organisations: restricted
      .sort((one, other) => other.work - one.work)
      .slice(0, MAX_RESTRICTED)
      .map(({ organisation, priority, targetMs, share }) => ({
        organisation,
        priority,
        targetMs,
        share,
      })),
    largeShare,
  };
}
