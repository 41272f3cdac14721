import ModernError from 'modern-errors';

/** Base of all errors of this package. */
export const BaseError = ModernError.subclass('BaseError');

/** The key-value service did not answer, or not in time; a write may have taken effect. */
export const KeyValueServiceError = BaseError.subclass('KeyValueServiceError');

/** The platform's host list could not be read. */
export const HostListError = BaseError.subclass('HostListError');

/** An engine did not answer an order or a report. */
export const EngineControlError = BaseError.subclass('EngineControlError');

/** A peer broke the protocol between entry hosts. */
export const PeerProtocolError = BaseError.subclass('PeerProtocolError');

/** An operator's command can't be carried out. */
export const OperatorError = BaseError.subclass('OperatorError');

/** What is known of a request that was not answered whole. */
export const ExecutionOutcome = { notRun: 'not-run', unknown: 'unknown', run: 'run' } as const;
export type ExecutionOutcome = (typeof ExecutionOutcome)[keyof typeof ExecutionOutcome];

/** Details of a request's refusal or failure. */
export interface RequestFailure {
  /** HTTP status. */
  status: number;
  /** Stable code for programs, such as `rate_exceeded`. */
  code: string;
  outcome: ExecutionOutcome;
  /** Seconds after which a repeat may succeed. */
  retryAfterSeconds?: number;
}

const defaultFailure: RequestFailure = {
  status: 500,
  code: 'internal_error',
  outcome: ExecutionOutcome.unknown,
};

/** A request that the system refuses or could not finish. */
export const RequestError = BaseError.subclass('RequestError', {
  props: { failure: defaultFailure },
});

/** Creates a RequestError with its details. */
export function createRequestError(
  message: string,
  failure: RequestFailure,
): InstanceType<typeof RequestError> {
  return new RequestError(message, { props: { failure } });
}

/** Formats any thrown value for a log line. */
export function formatError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
