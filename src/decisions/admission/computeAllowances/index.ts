import { computeCommonSurge, type OrganisationWork } from '../computeOrganisationExcess/index.js';

/** What organisations ask for and usually ask for, in tokens a second. */
export interface AllowancesOptions {
  recent: ReadonlyMap<string, number>;
  usual: ReadonlyMap<string, number>;
  /** Part of the work of the service that is refused at present. */
  refusedShare: number;
  /** Tokens a second by which one large request raises the recent work. */
  largeWork: number;
}

const ALLOWED_RATIO = 1.5; // of the usual; ordinary variation within seconds
const MIN_ALLOWED_FRACTION = 0.5; // of an equal share, for organisations that are new or seldom there

/**
 * Computes what each organisation may ask for in a shortage before others are refused for it. Answers one
 * organisation that sends many times its usual, beside others that all send more in a common wave. A
 * single large request is no surge. Requests without an organisation have no allowance.
 */
export function computeAllowances(options: AllowancesOptions): Map<string, OrganisationWork> {
  const { recent, usual, refusedShare, largeWork } = options;
  const surge = computeCommonSurge(
    [...usual].map(([name, work]) => ({ recent: recent.get(name) ?? 0, usual: work })),
  );
  const total = [...recent.values()].reduce((sum, work) => sum + work, 0);
  const equalShare = ((1 - refusedShare) * total) / Math.max(1, recent.size);
  return new Map(
    [...recent]
      .filter(([name]) => name !== '')
      .map(([name, work]) => {
        const ordinary = ALLOWED_RATIO * surge * (usual.get(name) ?? 0);
        const allowance = Math.max(1, ordinary, MIN_ALLOWED_FRACTION * equalShare) + largeWork;
        return [name, { recent: work, allowance }];
      }),
  );
}
