/** A backend server that can serve a request. */
export interface Candidate {
  id: string;
  /** Requests in flight on it, from all entry hosts as far as known. */
  inFlight: number;
  /** Maximum number of concurrent requests. */
  window: number;
  /** Id of the model on the engine; absent for services without models. */
  engineModel?: string;
}
