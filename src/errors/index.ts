import ModernError from 'modern-errors';

/** Base class of all errors of this package. */
export const BaseError = ModernError.subclass('BaseError');

/** The key-value service did not respond, or not in time; a write may have taken effect. */
export const KeyValueServiceError = BaseError.subclass('KeyValueServiceError', {
  props: {
    /** Epoch of the store that a refusal names. */
    epoch: undefined as number | undefined,
  },
});

/** The platform's host list could not be read. */
export const HostListError = BaseError.subclass('HostListError');

/** An engine did not respond to an order or a report request. */
export const EngineControlError = BaseError.subclass('EngineControlError');

/** An order was not sent, as this host may no longer be the leader. */
export const OrderNotSentError = BaseError.subclass('OrderNotSentError');

/** A peer violated the protocol between entry hosts. */
export const PeerProtocolError = BaseError.subclass('PeerProtocolError');

/** An operator's command cannot be executed. */
export const OperatorError = BaseError.subclass('OperatorError');

/** What is known about the execution of a request without a complete response. */
export const ExecutionOutcome = { notRun: 'not-run', unknown: 'unknown', run: 'run' } as const;
export type ExecutionOutcome = (typeof ExecutionOutcome)[keyof typeof ExecutionOutcome];

/** Details of a refused or failed request. */
export interface RequestFailure {
  /** HTTP status. */
  status: number;
  /** Stable machine-readable code, such as `rate_exceeded`. */
  code: string;
  outcome: ExecutionOutcome;
  /** Seconds after which a retry may succeed. */
  retryAfterSeconds?: number;
}

const defaultFailure: RequestFailure = {
  status: 500,
  code: 'internal_error',
  outcome: ExecutionOutcome.unknown,
};

/** A request was refused or could not be completed; `failure` has the details. */
export const RequestError = BaseError.subclass('RequestError', {
  props: { failure: defaultFailure },
});

/** Creates a RequestError with the given details. */
export function createRequestError(
  message: string,
  failure: RequestFailure,
): InstanceType<typeof RequestError> {
  return new RequestError(message, { props: { failure } });
}

/** Formats a thrown value for a log line. */
export function formatError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
