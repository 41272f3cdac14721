import { sendJson, type CallerRequest } from '../../../adapters/callerHttp/index.js';
import { checkKey } from '../_lib/authenticate.js';
import type { EntryContext, RequestRecord } from '../types.js';

/** Handles the request for the list of models and adapters that the caller's organisation may use. */
export function handleModels(
  context: EntryContext,
  request: CallerRequest,
  record: RequestRecord,
): void {
  const { organisation } = checkKey(context, request.incoming);
  record.organisation = organisation.name;
  const bundle = context.controlState.get().accepted?.bundle;
  const names = [...(bundle?.models ?? []), ...(bundle?.adapters ?? [])].map(({ name }) => name);
  const allowed = organisation.models;
  const data = names
    .filter((name) => allowed === undefined || allowed.includes(name))
    .map((id) => ({ id, object: 'model', owned_by: 'bronzelanding' }));
  sendJson(request, 200, { object: 'list', data });
}
