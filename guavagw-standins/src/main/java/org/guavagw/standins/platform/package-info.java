/** Stand-ins for the platform's object store, VM list, rating service and weight store. */
package org.guavagw.standins.platform;
