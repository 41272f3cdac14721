/** A backend server that can run a request now. */
export interface Candidate {
  id: string;
  /** Requests in flight there, from all entry hosts as far as known. */
  inFlight: number;
  /** Requests it runs at a time. */
  window: number;
  /** Model id on the engine; left out for plain services. */
  engineModel?: string;
}
