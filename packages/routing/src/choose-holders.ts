const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;

/** Returns a hash of 32 bits. */
export const hashText = (text: string): number => {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  // Spreads the last characters over all bits.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
  return (hash ^ (hash >>> 13)) >>> 0;
};

/**
 * Chooses the VMs that remember a key, the same ones at each VM as long as it knows the same VMs. A VM that
 * comes or goes changes the choice only for the keys that it is chosen for.
 *
 * @example
 * chooseHolders('r1', ['vm-1', 'vm-2', 'vm-3'], 2).length; // 2
 */
export const chooseHolders = (key: string, vms: readonly string[], count: number): string[] =>
  vms
    .map((vm) => ({ vm, hash: hashText(`${vm} ${key}`) }))
    .sort((a, b) => b.hash - a.hash || (a.vm < b.vm ? -1 : 1))
    .slice(0, count)
    .map(({ vm }) => vm);
