import {
  createClientGuard,
  type ClientGuard,
} from '../../../adapters/callerHttp/createClientGuard/index.js';
import type { Clock } from '../../../ports/clock.js';
import type { Log } from '../../../ports/log.js';
import type { Metrics } from '../../../ports/metrics.js';
import { resolveClientLimits } from '../../clientLimitSettings.js';
import type { EntrySettings } from '../settings.js';

const OPERATOR_SHARE = 1 / 8; // of the memory and connections of callers, in addition to theirs

/** Creates the guards of callers and operators; operators are served also when callers have used up their limits. */
export function createEntryGuards(
  settings: EntrySettings,
  { clock, log, metrics }: { clock: Clock; log: Log; metrics: Metrics },
): { callers: ClientGuard; operators: ClientGuard } {
  const limits = resolveClientLimits(settings);
  const operatorLimits = {
    ...limits,
    memoryBytes: Math.ceil(OPERATOR_SHARE * limits.memoryBytes),
    maximumConnections: Math.ceil(OPERATOR_SHARE * limits.maximumConnections),
  };
  const onRejected = (reason: string): void => metrics.increment('clients_rejected', 1, { reason });
  return {
    callers: createClientGuard({ limits, clock, log, onRejected }),
    operators: createClientGuard({ limits: operatorLimits, clock, log, onRejected }),
  };
}
