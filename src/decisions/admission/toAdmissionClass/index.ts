import type { ServingRoute } from '../../../ports/serving.js';
import type { AdmissionClass } from '../types.js';

const MAX_PRIORITY = 9; // engines support ten priorities
const MIN_EXPONENT = 6;
const MAX_EXPONENT = 20; // a quarter of an hour

/**
 * Returns the class of the requests of a route. Targets are grouped by powers of two, as a configuration
 * of hundreds of routes has nearly as many targets, and each class takes a part of each view.
 */
export function toAdmissionClass({
  priority,
  latencyTargetMs,
}: Pick<ServingRoute, 'priority' | 'latencyTargetMs'>): AdmissionClass {
  const exponent = Math.round(Math.log2(Math.max(1, latencyTargetMs)));
  return {
    priority: Math.min(MAX_PRIORITY, Math.max(0, Math.floor(priority))),
    targetMs: 2 ** Math.min(MAX_EXPONENT, Math.max(MIN_EXPONENT, exponent)),
  };
}
