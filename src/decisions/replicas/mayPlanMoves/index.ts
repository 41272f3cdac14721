/** What a leader knows of the registered engines. */
export interface RegistrationState {
  /** Milliseconds since the number of registered servers last increased. */
  sinceAddedMs: number;
  /** Whether this leader has planned moves before. */
  hasPlanned: boolean;
}

// Engines write their registrations every second or so while a system starts.
const REGISTRATION_SETTLE_MS = 1500;

/**
 * Checks whether replica moves may be planned. A new leader waits until the registrations of the
 * engines are complete, or it would take models for missing whose engines follow a moment later.
 * Later on it does not wait: while engines are added one by one, each would stop the planning, and
 * those added before would stay empty.
 */
export function mayPlanMoves({ sinceAddedMs, hasPlanned }: RegistrationState): boolean {
  return hasPlanned || sinceAddedMs >= REGISTRATION_SETTLE_MS;
}
