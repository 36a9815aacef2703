/**
 * One-way network delays of an experiment.
 *
 * @module
 */

/** Between caller and entry. */
export const CLIENT_DELAY_MS = 1;
/** Between entry and endpoint in one data centre. */
export const LINK_DELAY_MS = 0.5;
/** Additional delay to another data centre. */
export const CROSS_DATA_CENTRE_DELAY_MS = 1;
/** Delay until the other entries receive the digests of suspected poison requests. */
export const GOSSIP_DELAY_MS = 3;
