import type { Clock } from '../ports/clock.js';
import type { ServingOrganisation } from '../ports/serving.js';

/** Outcome of charging a request to its organisation. */
export type ChargeResult = { isWithin: true } | { isWithin: false; retryAfterMs: number };

/** Keeps each organisation within its rate and burst over all hosts together. */
export interface OrganisationRates {
  charge: (organisation: ServingOrganisation, tokens: number) => ChargeResult;
  /** Gives back what a request was charged that did not run. */
  refund: (organisation: string, tokens: number) => void;
  /** Tokens that this host has admitted since its start, by organisation. */
  getAdmitted: () => Map<string, number>;
  /** Takes what all hosts have admitted, counted by the leader since it began. */
  setFleet: (fleet: FleetAdmissions) => void;
}

/** What the leader has counted of all hosts. */
export interface FleetAdmissions {
  /** Changes with each leader, as its count begins anew. */
  epoch: string;
  totals: ReadonlyMap<string, number>;
  /** What this host had reported when the leader counted. */
  own: ReadonlyMap<string, number>;
  hosts: number;
}

interface Account {
  level: number;
  atMs: number;
  rate: number;
  burst: number;
  admitted: number;
  /** Others' admissions that were already taken off. */
  epoch: string;
  othersTotal: number;
  /** This host's part of what all hosts admitted lately. */
  share: number;
}

const FLEET_FRESH_MS = 1000; // a few rounds of the leader
const SHARE_WEIGHT = 0.1; // the share follows the last ten rounds

/**
 * Creates the rates of this host. While the leader is heard each host follows one bucket for the
 * fleet; without it a host refills by its own share, half of it even and half as it was used.
 */
export function createOrganisationRates(options: { clock: Clock }): OrganisationRates {
  const { clock } = options;
  const accounts = new Map<string, Account>();
  let fleetAtMs = -Infinity;
  let hosts = 1;

  const isFleetHeard = (nowMs: number): boolean => nowMs - fleetAtMs <= FLEET_FRESH_MS;

  const computeShare = (account: Account): number => 0.5 / hosts + 0.5 * account.share;

  const refill = (account: Account, nowMs: number): void => {
    const part = isFleetHeard(nowMs) ? 1 : computeShare(account);
    const added = (account.rate * part * (nowMs - account.atMs)) / 1000;
    account.level = Math.min(account.burst, account.level + added);
    account.atMs = nowMs;
  };

  const findAccount = ({ name, rate, burst }: ServingOrganisation, nowMs: number): Account => {
    let account = accounts.get(name);
    if (account === undefined) {
      const share = 1 / hosts;
      const level = isFleetHeard(nowMs) ? burst : burst * share;
      account = { level, atMs: nowMs, rate, burst, admitted: 0, epoch: '', othersTotal: 0, share };
      accounts.set(name, account);
    }
    refill(account, nowMs);
    account.rate = rate;
    account.burst = burst;
    account.level = Math.min(account.level, burst);
    return account;
  };

  return {
    charge: (organisation, tokens) => {
      if (organisation.rate <= 0) return { isWithin: true };
      const account = findAccount(organisation, clock.monotonicMs());
      // A request above the whole burst waits for a full bucket, not for ever.
      const needed = Math.min(tokens, account.burst);
      if (account.level < needed) {
        const missing = needed - account.level;
        return { isWithin: false, retryAfterMs: (missing / account.rate) * 1000 };
      }
      account.level -= tokens;
      account.admitted += tokens;
      return { isWithin: true };
    },
    refund: (name, tokens) => {
      const account = accounts.get(name);
      if (account === undefined) return;
      account.level = Math.min(account.burst, account.level + tokens);
      account.admitted -= tokens;
    },
    getAdmitted: () => new Map([...accounts].map(([name, { admitted }]) => [name, admitted])),
    setFleet: (fleet) => {
      const nowMs = clock.monotonicMs();
      for (const [name, account] of accounts) {
        refill(account, nowMs);
        const total = fleet.totals.get(name) ?? 0;
        const others = total - (fleet.own.get(name) ?? 0);
        if (account.epoch === fleet.epoch) {
          const added = Math.max(0, others - account.othersTotal);
          account.level -= added;
          if (total > 0)
            account.share += SHARE_WEIGHT * (Math.min(1, (fleet.own.get(name) ?? 0) / total) - account.share);
        }
        account.epoch = fleet.epoch;
        account.othersTotal = others;
      }
      hosts = Math.max(1, fleet.hosts);
      fleetAtMs = nowMs;
    },
  };
}
