// The platform's balancer, as far as the cases need it: asks each VM once a second whether it is ready.
import { onCleanUp, record, send, sleep } from './harness.mjs';

/** Time after which a question counts as missed. */
const answerMs = 950;

/** Starts the balancer; a VM is taken out after two misses and put back with the next 200. */
export const startBalancer = (vms) => {
  const misses = new Map(vms.map((vm) => [vm, 0]));
  let isOn = true;
  const poll = async (vm) => {
    while (isOn) {
      const asked = send(vm.ready, { path: '/api/ready' }).then(({ status }) => status === 200);
      const isReady = await Promise.race([asked, sleep(answerMs).then(() => false)]);
      const before = misses.get(vm);
      misses.set(vm, isReady ? 0 : before + 1);
      if (!isReady) record('VM does not say that it is ready', { vm: vm.name, misses: before + 1 });
      await sleep(isReady ? 1000 : 1000 - answerMs);
    }
  };
  vms.forEach((vm) => void poll(vm));
  onCleanUp(() => {
    isOn = false;
  });
  return {
    /** Chooses the VM for a new connection. */
    choose: () => {
      const inRotation = vms.filter((vm) => misses.get(vm) < 2);
      const list = inRotation.length > 0 ? inRotation : vms;
      return list[Math.floor(Math.random() * list.length)];
    },
  };
};
