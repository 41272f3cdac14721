export * from './clock.js';
export * from './engine.js';
export * from './hostList.js';
export * from './keyValueService.js';
export * from './log.js';
export * from './metrics.js';
export * from './peers.js';
