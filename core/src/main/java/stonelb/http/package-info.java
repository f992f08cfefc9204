/** HTTP/1.1 messages: an incremental parser and a writer. */
package stonelb.http;
