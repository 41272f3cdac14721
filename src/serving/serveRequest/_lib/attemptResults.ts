import { AttemptFailure } from '../../../ports/serving.js';
import { ServerOutcome } from '../../createServerRegistry/index.js';
import { AttemptOutcome, type AttemptResult } from '../../runAttempt/index.js';

/** Maps the result of an attempt to its effect on the health of the server. */
export function toServerOutcome({ outcome, failure, status }: AttemptResult): ServerOutcome {
  if (outcome === AttemptOutcome.served) return ServerOutcome.served;
  if (outcome === AttemptOutcome.serverError || outcome === AttemptOutcome.relayed)
    return ServerOutcome.failed;
  if (outcome === AttemptOutcome.timedOut && status === 0) return ServerOutcome.failed;
  if (outcome !== AttemptOutcome.failed) return ServerOutcome.neutral;
  if (failure === AttemptFailure.unreachable) return ServerOutcome.unreachable;
  return failure === AttemptFailure.broken ? ServerOutcome.failed : ServerOutcome.neutral;
}

/** Whether a request may have run in an attempt: not if its server refused it or got nothing of it. */
export function mayHaveRun({ outcome, failure }: AttemptResult): boolean {
  return outcome !== AttemptOutcome.failed || failure === AttemptFailure.broken;
}
