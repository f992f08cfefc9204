/** The configuration of a gateway from its environment and its configuration file in JSON. */
package stonelb.config;
