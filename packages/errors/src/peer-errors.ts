/**
 * Why a call to a peer gave no answer.
 *
 * - `refused`: nothing listens at the address, so no process of that incarnation runs there.
 * - `unreachable`: no connection was made, for another reason; nothing was sent.
 * - `lost`: it was sent, and the connection or the time ran out before an answer came.
 * - `rejected`: the peer answered with an error.
 */
export type PeerFault = 'refused' | 'unreachable' | 'lost' | 'rejected';
