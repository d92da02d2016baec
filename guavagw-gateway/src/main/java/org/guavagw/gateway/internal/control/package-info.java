/**
 * Replicas of the store's control tables, the view built from them, and how both are kept up to
 * date.
 */
package org.guavagw.gateway.internal.control;
