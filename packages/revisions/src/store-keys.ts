/** Keys and key prefixes of an environment in the platform's store. */
export interface StoreKeys {
  /** Prefix of all entries that every VM watches. */
  readonly control: string;
  readonly head: string;
  readonly members: string;
  readonly rateShards: string;
  readonly upgrade: string;
  readonly serverStates: string;
  readonly parts: string;
  readonly claims: string;
}

/**
 * Returns the store keys of an environment.
 *
 * @example
 * getStoreKeys('trial').head; // '/hemlocksill/trial/control/head'
 */
export const getStoreKeys = (environment: string): StoreKeys => {
  const root = `/hemlocksill/${environment}`;
  return {
    control: `${root}/control/`,
    head: `${root}/control/head`,
    members: `${root}/control/members/`,
    rateShards: `${root}/control/rate-shards/`,
    upgrade: `${root}/control/upgrade`,
    serverStates: `${root}/control/server-states`,
    parts: `${root}/parts/`,
    claims: `${root}/claims/`,
  };
};
