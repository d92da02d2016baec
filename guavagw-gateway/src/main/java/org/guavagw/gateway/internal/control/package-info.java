/**
 * What the gateway knows from the platform's store, how old it is, and how it is kept up to date.
 */
package org.guavagw.gateway.internal.control;
