import { LOAN_DEADLINE_MS } from '../../decisions/rate/constants/index.js';
import { planLoans } from '../../decisions/rate/planLoans/index.js';
import type { PlannedLoan } from '../../decisions/rate/types.js';
import type { RateLimiterOptions } from './types.js';

/** Units borrowed from one peer. */
export interface Loan {
  host: string;
  id: string;
  units: number;
}

/** Loans that arrived in time, and what is still missing. */
export interface CollectedLoans {
  loans: Loan[];
  missingUnits: number;
}

const MAX_ROUNDS = 3;

async function askPeer(
  options: RateLimiterOptions,
  organisation: string,
  { host, units }: PlannedLoan,
  timeoutMs: number,
): Promise<Loan> {
  const id = options.createId();
  const request = { type: 'loanRequest', id, organisation, units } as const;
  const reply = await options.requestLoan(host, request, timeoutMs);
  return { host, id, units: Math.min(units, reply?.units ?? 0) };
}

/**
 * Borrows missing units from peers, the richest first, in a few rounds within the loan deadline.
 * The deadline counts from before the first request, so no unit is older than it when spent.
 */
export async function collectLoans(
  options: RateLimiterOptions,
  organisation: string,
  neededUnits: number,
): Promise<CollectedLoans> {
  const { clock, listLenders } = options;
  const deadlineAtMs = clock.monotonicMs() + LOAN_DEADLINE_MS;
  const asked = new Set<string>();
  const loans: Loan[] = [];
  let missingUnits = neededUnits;
  for (let round = 0; round < MAX_ROUNDS && missingUnits > 0; round += 1) {
    const left = deadlineAtMs - clock.monotonicMs();
    const lenders = listLenders(organisation).filter(({ host }) => !asked.has(host));
    const asks = left > 0 ? planLoans(missingUnits, lenders) : [];
    if (asks.length === 0) break;
    for (const { host } of asks) asked.add(host);
    const replies = await Promise.all(asks.map((ask) => askPeer(options, organisation, ask, left)));
    loans.push(...replies.filter(({ units }) => units > 0));
    missingUnits -= replies.reduce((sum, { units }) => sum + units, 0);
  }
  return { loans, missingUnits };
}

/** Units of a request by where they came from, and how many of them were used. */
export interface UsedUnits {
  own: number;
  loans: readonly Loan[];
  used: number;
}

/**
 * Tells each lender how much of its loan was used and returns how much of the own units was. Every part
 * is used alike, so that no bucket gets more back than others; own units pay for what is above the charge.
 */
export function settleLoans(
  options: RateLimiterOptions,
  organisation: string,
  { own, loans, used }: UsedUnits,
): number {
  const borrowed = loans.reduce((sum, { units }) => sum + units, 0);
  const part = Math.min(1, used / Math.max(1, own + borrowed));
  let usedOfLoans = 0;
  for (const { host, id, units } of loans) {
    const usedUnits = Math.min(units, Math.ceil(units * part), used - usedOfLoans);
    usedOfLoans += usedUnits;
    // A loan that was used in full is settled too, so that its lender need not keep it open.
    options.sendSettlement(host, { type: 'loanSettlement', id, organisation, units: usedUnits });
  }
  return used - usedOfLoans;
}
