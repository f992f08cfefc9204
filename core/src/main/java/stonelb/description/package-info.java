/** OpenAPI descriptions: how they are read, reloaded, and matched against request paths. */
package stonelb.description;
