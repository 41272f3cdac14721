import { LOAN_DEADLINE_MS } from '../../../decisions/rate/constants/index.js';
import { planLoans } from '../../../decisions/rate/planLoans/index.js';
import type { PlannedLoan } from '../../../decisions/rate/types.js';
import type { RateLimiterOptions } from '../types.js';

/** Units borrowed from one peer. */
export interface Loan {
  host: string;
  id: string;
  units: number;
}

/** Loans granted within the deadline, and the units that are still missing. */
export interface CollectedLoans {
  loans: Loan[];
  missingUnits: number;
}

const MAX_LOAN_ROUNDS = 3;

async function askPeerForLoan(
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
 * Borrows missing units from peers, those with the highest level first, in up to MAX_LOAN_ROUNDS rounds.
 * The loan deadline starts before the first request, so that no borrowed unit is older when spent.
 */
export async function collectLoans(
  options: RateLimiterOptions,
  organisation: string,
  neededUnits: number,
): Promise<CollectedLoans> {
  const { clock, listLenders } = options;
  const deadlineAtMs = clock.monotonicMs() + LOAN_DEADLINE_MS;
  const contactedHosts = new Set<string>();
  const loans: Loan[] = [];
  let missingUnits = neededUnits;
  for (let round = 0; round < MAX_LOAN_ROUNDS && missingUnits > 0; round += 1) {
    const remainingMs = deadlineAtMs - clock.monotonicMs();
    const lenders = listLenders(organisation).filter(({ host }) => !contactedHosts.has(host));
    const plannedLoans = remainingMs > 0 ? planLoans(missingUnits, lenders) : [];
    if (plannedLoans.length === 0) break;
    for (const { host } of plannedLoans) contactedHosts.add(host);
    const replies = await Promise.all(
      plannedLoans.map((plannedLoan) =>
        askPeerForLoan(options, organisation, plannedLoan, remainingMs),
      ),
    );
    loans.push(...replies.filter(({ units }) => units > 0));
    missingUnits -= replies.reduce((sum, { units }) => sum + units, 0);
  }
  return { loans, missingUnits };
}

/** Local and borrowed units of a request, and how many of them were used. */
export interface UsedUnits {
  localUnits: number;
  loans: readonly Loan[];
  used: number;
}

/**
 * Settles each loan with its lender and returns how many local units were used. All buckets are refunded
 * in proportion to what they contributed; usage above the charge is paid by the local bucket.
 */
export function settleLoans(
  options: RateLimiterOptions,
  organisation: string,
  { localUnits, loans, used }: UsedUnits,
): number {
  const borrowedUnits = loans.reduce((sum, { units }) => sum + units, 0);
  const usedFraction = Math.min(1, used / Math.max(1, localUnits + borrowedUnits));
  let usedBorrowedUnits = 0;
  for (const { host, id, units } of loans) {
    const usedUnits = Math.min(units, Math.ceil(units * usedFraction), used - usedBorrowedUnits);
    usedBorrowedUnits += usedUnits;
    // A fully used loan is settled as well, so that the lender can close it.
    options.sendSettlement(host, { type: 'loanSettlement', id, organisation, units: usedUnits });
  }
  return used - usedBorrowedUnits;
}
