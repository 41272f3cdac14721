/** A trial whose request was neither answered nor followed by a crash, as a server rejected it. */
const UNDECIDED_TRIAL_MS = 4000; // the longest time to load a model, and a prompt to be read
const FIRST_RETRIAL_MS = 600_000; // operators have had time to replace the servers' software
const RETRIAL_FACTOR = 4;
const MAX_RETRIAL_MS = 86_400_000;

/** What is known of quarantined parts when a trial is asked for. */
export interface TrialHistory {
  /** Trials granted so far. */
  trials: number;
  /** Times at which it was confirmed that servers crash on the parts. */
  confirmations: number;
}

/**
 * Computes the milliseconds from one trial of quarantined parts to the next: a request with them is
 * sent to a server to see whether it still crashes. The first trial is due at once, as the parts may
 * have been in the crashes by chance; a second one soon, as the first may have been rejected; each
 * confirmation makes the next one rarer.
 */
export function computeTrialDelayMs({ trials, confirmations }: TrialHistory): number {
  if (confirmations > 0)
    return Math.min(MAX_RETRIAL_MS, FIRST_RETRIAL_MS * RETRIAL_FACTOR ** (confirmations - 1));
  if (trials === 0) return 0;
  return trials === 1 ? UNDECIDED_TRIAL_MS : FIRST_RETRIAL_MS;
}
