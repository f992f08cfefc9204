/**
 * Incremental parser and writer for RESP2, the Redis serialization protocol, version 2.
 */
package stonelb.gateway.resp;
