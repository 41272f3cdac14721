import type { Bundle } from '../types.js';

/** A finding whose line is not yet known. */
export interface UnlocatedFinding {
  path: PropertyKey[];
  message: string;
}

function findDoubles(section: string, names: string[], field = 'name'): UnlocatedFinding[] {
  const first = new Map<string, number>();
  const findings: UnlocatedFinding[] = [];
  names.forEach((name, index) => {
    const earlier = first.get(name);
    if (earlier === undefined) first.set(name, index);
    else
      findings.push({
        path: [section, index, field],
        message: `"${name}" already stands at ${section}[${earlier}]`,
      });
  });
  return findings;
}

function checkNames(bundle: Bundle): UnlocatedFinding[] {
  const modelNames = new Set(bundle.models.map(({ name }) => name));
  const clashes = bundle.adapters.flatMap(({ name }, index): UnlocatedFinding[] =>
    modelNames.has(name)
      ? [{ path: ['adapters', index, 'name'], message: `"${name}" is also the name of a model` }]
      : [],
  );
  return [
    ...findDoubles('services', [...bundle.services.map(({ name }) => name)]),
    ...findDoubles(
      'models',
      bundle.models.map(({ name }) => name),
    ),
    ...findDoubles(
      'adapters',
      bundle.adapters.map(({ name }) => name),
    ),
    ...findDoubles(
      'organisations',
      bundle.organisations.map(({ name }) => name),
    ),
    ...findDoubles(
      'routes',
      bundle.routes.map(({ method, path }) => `${method} ${path}`),
      'path',
    ),
    ...clashes,
  ];
}

function checkTargets(bundle: Bundle): UnlocatedFinding[] {
  const services = new Set(bundle.services.map(({ name }) => name));
  const models = new Set(bundle.models.map(({ name }) => name));
  const plain = new Set(bundle.plainServices);
  const served = new Set([...models, ...bundle.adapters.map(({ name }) => name)]);
  const findings: UnlocatedFinding[] = [];
  bundle.models.forEach(({ service }, index) => {
    if (!services.has(service))
      findings.push({ path: ['models', index, 'service'], message: `no service "${service}"` });
  });
  bundle.adapters.forEach(({ model }, index) => {
    if (!models.has(model))
      findings.push({ path: ['adapters', index, 'model'], message: `no model "${model}"` });
  });
  bundle.routes.forEach(({ service, path }, index) => {
    if (!plain.has(service))
      findings.push({
        path: ['routes', index, 'service'],
        message: `no plain service "${service}"`,
      });
    if (path.startsWith('/v1/'))
      findings.push({ path: ['routes', index, 'path'], message: '/v1/ belongs to the models' });
  });
  bundle.organisations.forEach(({ models: allowed = [] }, index) => {
    allowed.forEach((name, position) => {
      if (!served.has(name))
        findings.push({
          path: ['organisations', index, 'models', position],
          message: `no model or adapter "${name}"`,
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
          message: `the same key already belongs to "${owner}"`,
        });
      owners.set(digest, name);
    });
  });
  return findings;
}

/** Checks names, references and keys across the sections of a bundle. */
export function checkReferences(bundle: Bundle): UnlocatedFinding[] {
  return [...checkNames(bundle), ...checkTargets(bundle), ...checkKeys(bundle)];
}
