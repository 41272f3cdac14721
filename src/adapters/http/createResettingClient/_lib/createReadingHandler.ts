import { DecoratorHandler, type Dispatcher } from 'undici';
import { findHeadFault } from '../../findHeadFault/index.js';
import type { SocketReader } from '../../createSocketReader/index.js';

type Handler = Required<
  Pick<
    Dispatcher.DispatchHandler,
    | 'onRequestStart'
    | 'onRequestUpgrade'
    | 'onResponseStart'
    | 'onResponseData'
    | 'onResponseEnd'
    | 'onResponseError'
  >
>;

/** Lets a handler pause the connection instead of the parser, which must not be paused when its connection ends. */
function createReadingController(
  controller: Dispatcher.DispatchController,
  reader: SocketReader,
): Dispatcher.DispatchController {
  return {
    get aborted() {
      return controller.aborted;
    },
    get paused() {
      return reader.isPaused();
    },
    get reason() {
      return controller.reason;
    },
    get rawHeaders() {
      return controller.rawHeaders;
    },
    get rawTrailers() {
      return controller.rawTrailers;
    },
    abort: (reason) => controller.abort(reason),
    pause: reader.pause,
    resume: reader.resume,
  };
}

/**
 * Creates a handler that passes a response on as the reader of its connection delivers it, and ends the connection at a
 * head that is none of an answer. `getReader` returns the reader of the connection on which the request is being sent.
 */
export function createReadingHandler(
  handler: Dispatcher.DispatchHandler,
  getReader: () => SocketReader | undefined,
): Dispatcher.DispatchHandler {
  // It adapts handlers of undici's own calls, and has all methods, though its type declares none.
  const inner = new DecoratorHandler(handler) as unknown as Handler;
  let reader: SocketReader | undefined;
  let used: Dispatcher.DispatchController | undefined;
  let isDone = false;
  return {
    onRequestStart: (controller, context) => {
      reader = getReader();
      const reading =
        reader === undefined ? controller : createReadingController(controller, reader);
      used = reading;
      reader?.startResponse((body) => {
        if (!isDone) inner.onResponseData(reading, body);
      });
      inner.onRequestStart(reading, context);
    },
    onRequestUpgrade: (controller, ...parameters) =>
      inner.onRequestUpgrade(used ?? controller, ...parameters),
    onResponseStart: (controller, status, headers, reason = '') => {
      const protocols = reader?.listProtocols() ?? [];
      const fault = findHeadFault({ protocols, status, headers, reason });
      if (fault !== undefined) {
        controller.abort(new Error(fault));
        return;
      }
      // Interim responses are not passed on, as undici's adapter takes a second head for a mistake.
      if (status >= 200) inner.onResponseStart(used ?? controller, status, headers, reason);
    },
    onResponseData: (controller, chunk) => {
      if (reader === undefined) inner.onResponseData(controller, chunk);
      else reader.addBody(chunk);
    },
    onResponseEnd: (controller, trailers) => {
      reader?.finishResponse();
      isDone = true;
      inner.onResponseEnd(used ?? controller, trailers);
    },
    onResponseError: (controller, error) => {
      if (isDone) return;
      // What arrived before the error is passed on, as a stream may be resumed after it.
      reader?.finishResponse();
      isDone = true;
      inner.onResponseError(used ?? controller, error);
    },
  };
}
