/**
 * Why a call to a peer returned no result.
 *
 * - `refused`: the connection was refused because nothing listens at the address, so the
 *   called incarnation no longer runs there.
 * - `unreachable`: the connection could not be opened for another reason; nothing was sent.
 * - `lost`: the request was sent, but the connection closed or the timeout expired before
 *   the reply arrived.
 * - `rejected`: the peer replied with an error.
 */
export type PeerFault = 'refused' | 'unreachable' | 'lost' | 'rejected';
