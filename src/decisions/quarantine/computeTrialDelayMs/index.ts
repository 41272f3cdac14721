/** A trial whose request was neither answered nor followed by a crash, as a server rejected it. */
const UNDECIDED_TRIAL_MS = 4000; // the longest time to load a model, and a prompt to be read
const FIRST_RETRIAL_MS = 600_000; // operators have had time to replace the servers' software
const RETRIAL_FACTOR = 4;
const MAX_RETRIAL_MS = 86_400_000;

/**
 * Computes the milliseconds from one trial of quarantined parts to the next: a request with them is
 * sent to a server to see whether it still crashes. The first trial is due at once, as the parts may
 * have been in the crashes by chance; each one that ends in a crash makes the next one rarer.
 */
export function computeTrialDelayMs(trials: number, failedTrials: number): number {
  if (trials === 0) return 0;
  if (failedTrials === 0) return UNDECIDED_TRIAL_MS * 2 ** (trials - 1);
  return Math.min(MAX_RETRIAL_MS, FIRST_RETRIAL_MS * RETRIAL_FACTOR ** (failedTrials - 1));
}
