/** A class of requests of one service: by the priority of their routes, then by patience. */
export interface AdmissionClass {
  /** Priority of the routes; 0 is the most urgent. */
  priority: number;
  /** Latency target of the routes in milliseconds, rounded to a power of two. */
  targetMs: number;
}

/** What callers of one organisation ask for in one class, whether it is admitted or not. */
export interface AdmissionDemand extends AdmissionClass {
  /** Empty for requests without an organisation. */
  organisation: string;
  requests: number;
  /** Requests of the largest tenth of the service. */
  largeRequests: number;
  /** Tokens of the requests. */
  work: number;
}

/** Fraction of the requests of a class that are admitted, from 0 to 1. */
export interface ClassShare extends AdmissionClass {
  share: number;
}

/** Fraction admitted of an organisation that asks for more than its share. */
export interface OrganisationShare extends ClassShare {
  organisation: string;
}

/** Which requests of a service are admitted. */
export interface AdmissionShares {
  /** The most urgent class first. */
  classes: readonly ClassShare[];
  /** Organisations that ask for more than their share; they go before the share of the class. */
  organisations: readonly OrganisationShare[];
  /** Fraction of the largest requests that are admitted at least. */
  largeShare: number;
}

/** The admission level of a service. */
export interface AdmissionLevel extends AdmissionShares {
  /** Part of the work that is refused, from 0 to 1. */
  refusedShare: number;
  /** Tokens from which on a request counts as large. */
  largeTokens: number;
  /** Milliseconds until capacity is likely. */
  capacityInMs: number;
}

/** Loads of one engine from all hosts. */
export interface EngineLoad {
  active: number;
  slots: number;
  backlogTokens: number;
  urgentBacklogTokens: number;
  reservedTokens: number;
  memoryTokens: number;
}
