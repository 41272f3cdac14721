import type { Bundle } from '../types.js';

/** A finding whose line number has not been looked up yet. */
export interface UnlocatedFinding {
  path: PropertyKey[];
  message: string;
}

function findDuplicates(section: string, names: string[], field = 'name'): UnlocatedFinding[] {
  const firstIndexes = new Map<string, number>();
  const findings: UnlocatedFinding[] = [];
  names.forEach((name, index) => {
    const firstIndex = firstIndexes.get(name);
    if (firstIndex === undefined) firstIndexes.set(name, index);
    else
      findings.push({
        path: [section, index, field],
        message: `duplicate "${name}", first listed at ${section}[${firstIndex}]`,
      });
  });
  return findings;
}

function checkNames(bundle: Bundle): UnlocatedFinding[] {
  const modelNames = new Set(bundle.models.map(({ name }) => name));
  const conflicts = bundle.adapters.flatMap(({ name }, index): UnlocatedFinding[] =>
    modelNames.has(name)
      ? [{ path: ['adapters', index, 'name'], message: `"${name}" is also the name of a model` }]
      : [],
  );
  return [
    ...findDuplicates('services', [...bundle.services.map(({ name }) => name)]),
    ...findDuplicates(
      'models',
      bundle.models.map(({ name }) => name),
    ),
    ...findDuplicates(
      'adapters',
      bundle.adapters.map(({ name }) => name),
    ),
    ...findDuplicates(
      'organisations',
      bundle.organisations.map(({ name }) => name),
    ),
    ...findDuplicates(
      'routes',
      bundle.routes.map(({ method, path }) => `${method} ${path}`),
      'path',
    ),
    ...conflicts,
  ];
}

function checkReferencedNames(bundle: Bundle): UnlocatedFinding[] {
  const services = new Set(bundle.services.map(({ name }) => name));
  const models = new Set(bundle.models.map(({ name }) => name));
  const plainServices = new Set(bundle.plainServices);
  const modelsAndAdapters = new Set([...models, ...bundle.adapters.map(({ name }) => name)]);
  const findings: UnlocatedFinding[] = [];
  bundle.models.forEach(({ service }, index) => {
    if (!services.has(service))
      findings.push({
        path: ['models', index, 'service'],
        message: `unknown service "${service}"`,
      });
  });
  bundle.adapters.forEach(({ model }, index) => {
    if (!models.has(model))
      findings.push({ path: ['adapters', index, 'model'], message: `unknown model "${model}"` });
  });
  bundle.routes.forEach(({ service, path }, index) => {
    if (!plainServices.has(service))
      findings.push({
        path: ['routes', index, 'service'],
        message: `unknown plain service "${service}"`,
      });
    if (path.startsWith('/v1/'))
      findings.push({
        path: ['routes', index, 'path'],
        message: 'paths that start with /v1/ are reserved for model requests',
      });
  });
  bundle.organisations.forEach(({ models: allowed = [] }, index) => {
    allowed.forEach((name, position) => {
      if (!modelsAndAdapters.has(name))
        findings.push({
          path: ['organisations', index, 'models', position],
          message: `unknown model or adapter "${name}"`,
        });
    });
  });
  return findings;
}

function checkKeys(bundle: Bundle): UnlocatedFinding[] {
  const owners = new Map<string, string>();
  const findings: UnlocatedFinding[] = [];
  bundle.organisations.forEach(({ name, keys }, index) => {
    keys.forEach((digest, position) => {
      const owner = owners.get(digest);
      if (owner !== undefined)
        findings.push({
          path: ['organisations', index, 'keys', position],
          message: `key is already listed for organisation "${owner}"`,
        });
      owners.set(digest, name);
    });
  });
  return findings;
}

/**
 * Checks across the sections of a bundle that names are unique, that references resolve and that no
 * key is listed twice.
 */
export function checkReferences(bundle: Bundle): UnlocatedFinding[] {
  return [...checkNames(bundle), ...checkReferencedNames(bundle), ...checkKeys(bundle)];
}
